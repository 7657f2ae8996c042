package protocol

// LockRequest is the body of Locks.Begin, Locks.Heartbeat and Locks.Finish. Which fields
// count depends on the call.
type LockRequest struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fenceNumber"`
	HoldMs int64  `json:"holdMs"`
}

// LockGrant is the answer to a Locks.Begin that got the lock.
type LockGrant struct {
	Fence int64 `json:"fenceNumber"`
}

// NumberResponse is the answer to a call for a number.
type NumberResponse struct {
	Value int64 `json:"value"`
}

// PutRequest is the body of Cells.Replace.
type PutRequest struct {
	Value    string `json:"value"`
	Expected int64  `json:"active"` // the revision that the key must have; 0: it must not exist
}

// RevisionResponse names a revision: that of a put, or, with status 412, that of the key.
type RevisionResponse struct {
	Revision int64 `json:"revision"`
}

// KeyResponse is the answer to Cells.Read.
type KeyResponse struct {
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// WatchEvent is a put as a watch tells of it.
type WatchEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// WatchResponse is the answer to a watch: all puts of the group above the revision that
// the caller named, up to Revision.
type WatchResponse struct {
	Events   []WatchEvent `json:"events"`
	Revision int64        `json:"revision"`
}
