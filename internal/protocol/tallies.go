package protocol

// TallyChange is the body of POST /-/Tallies.Change/ID: an add with an ID chosen by the
// caller. Adds with the same ID are counted once.
type TallyChange struct {
	ID     string `json:"id"`
	Amount int64  `json:"heldBy"`
}

// TallyResponse is the response to GET /-/Tallies.Read/ID.
type TallyResponse struct {
	Total int64 `json:"total"`
}
