package tally

// Message is what replicas tell one another.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Vector is what the sender has on its disk: of all origins if Whole is set, else of those
	// that have changed since the message to this receiver before; Digest is that of all.
	Vector Vector
	Whole  bool
	Digest Digest
	Runs   []Run // adds that the receiver may lack
	// Exchange asks the receiver for what it has beyond the vector, AskWhole for the whole of
	// its own vector.
	Exchange, AskWhole bool
	// Contents is the digest of the adds on the sender's disk.
	Contents   uint64
	Comparison *Comparison // nil: none is under way
}

// Envelope is a message and the peer that it goes to.
type Envelope struct {
	To      string
	Message Message
}
