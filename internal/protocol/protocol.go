package protocol

// MaxControlBodyBytes is the size of the largest body of an operator's request, in bytes: 4 MiB by
// the protocol.
const MaxControlBodyBytes = 4 << 20
