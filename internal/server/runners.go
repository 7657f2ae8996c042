package server

import (
	"time"

	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// runnerWatcher is a daemon's question for changes, held until there is one.
type runnerWatcher struct {
	watch rpc.RunnerWatch
	reply replyFunc
	until time.Time
}

// handlePublishRunners takes over the platform's list as the leader's process has read
// it. The list is not part of the state: a new leader reads it anew.
func (r *Replica) handlePublishRunners(list *[]registry.Runner, stream *transport.Stream, reply replyFunc) {
	if stream != nil {
		reply(responseBadRequest) // only the leader itself reads the list
		return
	}
	if r.runnerTable == nil {
		r.runnerTable = registry.NewTable(r.processID + "/" + time.Now().Format(time.RFC3339Nano))
	}
	r.observations.Annotate(*list, time.Now())
	r.runnerTable.Update(*list)
	reply(responseOK)
}

// handleWatchRunners tells a daemon what has changed in the list, or holds its question
// for a moment.
func (r *Replica) handleWatchRunners(watch *rpc.RunnerWatch, _ *transport.Stream, reply replyFunc) {
	r.observations.Add(watch.Observations)
	if r.hasNewsFor(watch) {
		r.replyWithRunners(watch, reply)
		return
	}
	r.runnerWatchers = append(r.runnerWatchers, runnerWatcher{*watch, reply, time.Now().Add(tuning.RunnerWatchWait)})
}

// hasNewsFor tells whether the list or the configuration is another than a daemon has.
func (r *Replica) hasNewsFor(watch *rpc.RunnerWatch) bool {
	if r.state.Configuration.Version > watch.ConfigVersion {
		return true
	}
	return r.runnerTable != nil && !r.runnerTable.IsAt(watch.Epoch, watch.Version)
}

// replyWithRunners gives a daemon what it lacks of the list. Each response names the
// version of the configuration.
func (r *Replica) replyWithRunners(watch *rpc.RunnerWatch, reply replyFunc) {
	if r.runnerTable == nil {
		reply(responseOK)
		return
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.runnerTable.Since(watch.Epoch, watch.Version))})
}

// replyToRunnerWatchers answers the questions for which there is news, or whose time is
// over; it returns after how long the next one must be answered, 0 for none.
func (r *Replica) replyToRunnerWatchers(now time.Time) time.Duration {
	if !r.leading {
		r.runnerTable, r.observations = nil, registry.NewObservations()
	}
	wake := time.Duration(0)
	kept := r.runnerWatchers[:0]
	for _, watcher := range r.runnerWatchers {
		wait := watcher.until.Sub(now)
		switch {
		case !r.leadsWithLease(now):
			watcher.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		case wait <= 0 || r.hasNewsFor(&watcher.watch):
			r.replyWithRunners(&watcher.watch, watcher.reply)
		default:
			kept = append(kept, watcher)
			if wake == 0 || wait < wake {
				wake = wait
			}
		}
	}
	clear(r.runnerWatchers[len(kept):])
	r.runnerWatchers = kept
	return wake
}
