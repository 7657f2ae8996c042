package tally

// Message is what one replica sends to another.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Vector is what the sender has on its disk: all origins if Whole is set, otherwise those that
	// changed since the previous message to this receiver. Digest covers all origins.
	Vector Vector
	Whole  bool
	Digest Digest
	Runs   []Run // adds that the receiver may not have
	// Exchange requests the adds that the receiver has beyond the sender's vector, AskWhole the
	// receiver's complete vector.
	Exchange, AskWhole bool
	// Contents is the digest of the adds on the sender's disk.
	Contents   uint64
	Comparison *Comparison // nil: not part of a comparison
}

// Envelope is a message with the peer that it is addressed to.
type Envelope struct {
	To      string
	Message Message
}
