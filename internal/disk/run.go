package disk

import (
	"context"
	"time"

	"tealpond/internal/tune"
)

// Run writes what comes in, as many jobs as wait in one sync, and gives each
// back. What the node put out comes back in order; a snapshot of one's own is
// written beside it, in frames, and comes back when it is in force. A refused
// write is tried again: nothing may rest on it.
func (d *Disk) Run(ctx context.Context, in <-chan Job, give func([]Job, error)) {
	defer func() { _ = d.db.Close() }()
	var q queue
	for {
		if q.empty() {
			select {
			case <-ctx.Done():
				return
			case j := <-in:
				q.add(j)
			}
		}
		q.drain(in)
		done, err := d.step(&q)
		if err != nil {
			give(nil, err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		if len(done) > 0 {
			give(done, nil)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// drain takes what waits.
func (q *queue) drain(in <-chan Job) {
	for range tune.DiskInbox {
		select {
		case j := <-in:
			q.add(j)
		default:
			return
		}
	}
}
