package server

import (
	"time"

	"tealpond/internal/coordination"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// keyWatcher is a watch that is held until there is a put for it.
type keyWatcher struct {
	after int64
	reply replyFunc
	until time.Time
}

// keyWatchers are the watches that the leader holds, by group.
type keyWatchers struct {
	byGroup map[string][]keyWatcher
	// notifiedRevision is the revision of a group up to which its watchers were answered.
	notifiedRevision map[string]int64
	// nextUntil is when the first of them must be answered; zero if there are none.
	nextUntil time.Time
}

func newKeyWatchers() keyWatchers {
	return keyWatchers{byGroup: map[string][]keyWatcher{}, notifiedRevision: map[string]int64{}}
}

// add holds a watch of a group that is at a revision.
func (w *keyWatchers) add(group string, revision int64, watcher keyWatcher) {
	w.byGroup[group] = append(w.byGroup[group], watcher)
	w.notifiedRevision[group] = revision
	w.noteUntil(watcher.until)
}

// noteUntil records when a watcher must be answered.
func (w *keyWatchers) noteUntil(until time.Time) {
	if w.nextUntil.IsZero() || until.Before(w.nextUntil) {
		w.nextUntil = until
	}
}

// answer answers the watchers of a group that answerable picks, and keeps the others.
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

// count is the number of watches that are held.
func (w *keyWatchers) count() int {
	count := 0
	for _, watchers := range w.byGroup {
		count += len(watchers)
	}
	return count
}

// handleWatchKeys answers a watch at once if there are puts for it, if its history is no
// longer kept, or if it only asks for the present revision; else it is held. A group in
// which nothing was ever put has no revision that its watcher could resume from: the
// watch is held for the first put, which would else be missed.
func (r *Replica) handleWatchKeys(watch *rpc.KeyWatch, _ *transport.Stream, reply replyFunc) {
	if revision := r.state.Coordination.Revision(watch.Group); watch.After <= 0 && revision > 0 {
		reply(updateResponse(coordination.WatchResult{Revision: revision}, nil))
		return
	}
	update, err := r.state.Coordination.Since(watch.Group, watch.After)
	if err != nil || len(update.Events) > 0 || watch.WaitMs <= 0 {
		reply(updateResponse(update, err))
		return
	}
	wait := min(time.Duration(watch.WaitMs)*time.Millisecond, timing.MaxWatchWait)
	r.keyWatchers.add(watch.Group, r.state.Coordination.Revision(watch.Group), keyWatcher{watch.After, reply, time.Now().Add(wait)})
}

// updateResponse is the answer to a watch.
func updateResponse(update coordination.WatchResult, err error) rpc.Response {
	if err != nil {
		return rpc.Response{Code: rpc.CodeGone, Text: err.Error()}
	}
	return rpc.Response{Code: rpc.CodeOK, Value: update.Revision, Body: transport.Encode(update)}
}

// replyToKeyWatchers answers the watches for which there are puts, or whose time is over;
// it returns after how long the next one must be answered, 0 for none. Only groups with
// new puts are looked at, and all of them when the time of one is over.
func (r *Replica) replyToKeyWatchers(now time.Time) time.Duration {
	w := &r.keyWatchers
	if len(w.byGroup) == 0 {
		return 0
	}
	// What is committed stays true, so without its lease a leader may still tell of it.
	leads := r.leading
	timeIsOver := !now.Before(w.nextUntil)
	if timeIsOver {
		w.nextUntil = time.Time{}
	}
	for group := range w.byGroup {
		revision := r.state.Coordination.Revision(group)
		if leads && !timeIsOver && revision == w.notifiedRevision[group] {
			continue
		}
		w.notifiedRevision[group] = revision
		w.answer(group,
			func(watcher keyWatcher) bool { return !leads || revision > watcher.after || !now.Before(watcher.until) },
			func(watcher keyWatcher) { r.replyToKeyWatcher(group, watcher, leads) })
		for _, watcher := range w.byGroup[group] {
			w.noteUntil(watcher.until)
		}
	}
	if len(w.byGroup) == 0 {
		w.nextUntil = time.Time{}
		return 0
	}
	return max(w.nextUntil.Sub(now), time.Millisecond)
}

// replyToKeyWatcher answers one watch with what there is for it.
func (r *Replica) replyToKeyWatcher(group string, watcher keyWatcher, leads bool) {
	if !leads {
		watcher.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		return
	}
	watcher.reply(updateResponse(r.state.Coordination.Since(group, watcher.after)))
}
