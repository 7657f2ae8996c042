package protocol

// LockRequest is the body of Locks.Begin, Locks.Heartbeat and Locks.Finish. The call determines
// which fields are used.
type LockRequest struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fenceNumber"`
	HoldMs int64  `json:"holdMs"`
}

// LockGrant is the response to a Locks.Begin that acquired the lock.
type LockGrant struct {
	Fence int64 `json:"fenceNumber"`
}

// NumberResponse is the response to a request for a number.
type NumberResponse struct {
	Value int64 `json:"value"`
}

// PutRequest is the body of Cells.Replace.
type PutRequest struct {
	Value    string `json:"value"`
	Expected int64  `json:"active"` // the revision that the key must have; 0: the key must not exist
}

// RevisionResponse contains the revision of a put or, with status 412, the current revision of the key.
type RevisionResponse struct {
	Revision int64 `json:"revision"`
}

// KeyResponse is the response to Cells.Read.
type KeyResponse struct {
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// WatchEvent is a put reported by a watch.
type WatchEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// WatchResponse is the response to a watch: all puts to the group after the revision given by
// the caller, up to Revision.
type WatchResponse struct {
	Events   []WatchEvent `json:"events"`
	Revision int64        `json:"revision"`
}
