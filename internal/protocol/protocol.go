package protocol

// MaxControlBodyBytes is the maximum size of the body of an operator's request, in bytes. The protocol
// specifies 4 MiB.
const MaxControlBodyBytes = 4 << 20
