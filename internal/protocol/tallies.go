package protocol

// TallyChange is the body of POST /-/Tallies.Change/ID: an add, known by an ID of the
// caller's choice, which counts once.
type TallyChange struct {
	ID     string `json:"id"`
	Amount int64  `json:"heldBy"`
}

// TallyResponse is the answer to GET /-/Tallies.Read/ID.
type TallyResponse struct {
	Total int64 `json:"total"`
}
