package server

import (
	"time"

	"tealpond/internal/coordination"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// keyWatcher is a watch that is held until there is a put for it or its
// deadline has passed.
type keyWatcher struct {
	after    int64 // revision that the caller has
	reply    replyFunc
	deadline time.Time
}

// keyWatchers are the watches that the leader holds, by group.
type keyWatchers struct {
	byGroup map[string][]keyWatcher
	// notifiedRevision is, by group, the revision up to which its watchers were answered.
	notifiedRevision map[string]int64
	// nextDeadline is when the first watcher must be answered; zero if there are none.
	nextDeadline time.Time
}

func newKeyWatchers() keyWatchers {
	return keyWatchers{byGroup: map[string][]keyWatcher{}, notifiedRevision: map[string]int64{}}
}

// add holds a watch of a group whose current revision is given.
func (w *keyWatchers) add(group string, revision int64, watcher keyWatcher) {
	w.byGroup[group] = append(w.byGroup[group], watcher)
	w.notifiedRevision[group] = revision
	w.recordDeadline(watcher.deadline)
}

// recordDeadline sets nextDeadline to the deadline if that is earlier, or if there is none.
func (w *keyWatchers) recordDeadline(deadline time.Time) {
	if w.nextDeadline.IsZero() || deadline.Before(w.nextDeadline) {
		w.nextDeadline = deadline
	}
}

// answer answers the watchers of a group for which answerable is true, and keeps the others.
func (w *keyWatchers) answer(group string, answerable func(keyWatcher) bool, reply func(keyWatcher)) {
	kept := w.byGroup[group][:0]
	for _, watcher := range w.byGroup[group] {
		if answerable(watcher) {
			reply(watcher)
			continue
		}
		kept = append(kept, watcher)
	}
	clear(w.byGroup[group][len(kept):])
	w.byGroup[group] = kept
	if len(kept) == 0 {
		delete(w.byGroup, group)
		delete(w.notifiedRevision, group)
	}
}

// count returns the number of held watches.
func (w *keyWatchers) count() int {
	count := 0
	for _, watchers := range w.byGroup {
		count += len(watchers)
	}
	return count
}

// handleWatchKeys answers a watch at once if there are puts for it, if its history is no
// longer kept, or if it only asks for the current revision. Otherwise the watch is held. A group
// without any put has no revision from which its watcher could resume: the watch is held
// for the first put, which would otherwise be missed.
func (r *Replica) handleWatchKeys(watch *rpc.KeyWatch, _ *transport.Stream, reply replyFunc) {
	if revision := r.state.Coordination.Revision(watch.Group); watch.After <= 0 && revision > 0 {
		reply(watchResponse(coordination.WatchResult{Revision: revision}, nil))
		return
	}
	update, err := r.state.Coordination.Since(watch.Group, watch.After, r.clock(time.Now()))
	if err != nil || len(update.Events) > 0 || watch.WaitMs <= 0 {
		reply(watchResponse(update, err))
		return
	}
	wait := min(time.Duration(watch.WaitMs)*time.Millisecond, timing.MaxWatchWait)
	r.keyWatchers.add(watch.Group, r.state.Coordination.Revision(watch.Group), keyWatcher{watch.After, reply, time.Now().Add(wait)})
}

// watchResponse returns the response to a watch.
func watchResponse(update coordination.WatchResult, err error) rpc.Response {
	if err != nil {
		return rpc.Response{Code: rpc.CodeGone, Text: err.Error()}
	}
	return rpc.Response{Code: rpc.CodeOK, Value: update.Revision, Body: transport.Encode(update)}
}

// replyToKeyWatchers answers the watches for which there are puts, or whose deadline has
// passed. It returns the time until the next one must be answered, 0 if there is none. It
// examines only groups with new puts, and all groups when a deadline has passed.
func (r *Replica) replyToKeyWatchers(now time.Time) time.Duration {
	w := &r.keyWatchers
	if len(w.byGroup) == 0 {
		return 0
	}
	// Committed puts are final, so a leader without a valid lease may still send them.
	leads := r.leading
	deadlinePassed := !now.Before(w.nextDeadline)
	if deadlinePassed {
		w.nextDeadline = time.Time{}
	}
	for group := range w.byGroup {
		revision := r.state.Coordination.Revision(group)
		if leads && !deadlinePassed && revision == w.notifiedRevision[group] {
			continue
		}
		w.notifiedRevision[group] = revision
		w.answer(group,
			func(held keyWatcher) bool { return !leads || revision > held.after || !now.Before(held.deadline) },
			func(held keyWatcher) { r.replyToKeyWatcher(group, held, leads, now) })
		for _, held := range w.byGroup[group] {
			w.recordDeadline(held.deadline)
		}
	}
	if len(w.byGroup) == 0 {
		w.nextDeadline = time.Time{}
		return 0
	}
	return max(w.nextDeadline.Sub(now), time.Millisecond)
}

// replyToKeyWatcher answers one watch with the puts since its revision.
func (r *Replica) replyToKeyWatcher(group string, watcher keyWatcher, leads bool, now time.Time) {
	if !leads {
		watcher.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		return
	}
	watcher.reply(watchResponse(r.state.Coordination.Since(group, watcher.after, r.clock(now))))
}
