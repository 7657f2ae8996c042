package server

import (
	"slices"
	"time"

	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// runnerWatchWait is how long the leader holds a watch of the list of runners; it is below
	// timing.RequestAttemptTimeout.
	runnerWatchWait = 350 * time.Millisecond
	// healthEntriesPerS bounds the entries of runners' health that the leader sends to all daemons
	// together, a second.
	healthEntriesPerS = 15_000
)

// runnerWatcher is a daemon's question for changes, held until there is one.
type runnerWatcher struct {
	watch   rpc.RunnerWatch
	reply   replyFunc
	askedAt time.Time
	until   time.Time
}

// handlePublishRunners takes over the platform's list as the leader's process has read
// it. The list is not part of the state: a new leader reads it anew.
func (r *Replica) handlePublishRunners(list *rpc.RunnerList, stream *transport.Stream, reply replyFunc) {
	if stream != nil {
		reply(responseBadRequest) // only the leader itself reads the list
		return
	}
	now := time.Now()
	r.publishRunners(list.Runners, now)
	r.runnersReadAt = now.Add(-time.Duration(list.AgeMs) * time.Millisecond)
	reply(responseOK)
}

// runnerListAge is since when changes may be missing in the list, in ms; negative if it
// isn't known. What runners announce is in the list once it is acknowledged.
func (r *Replica) runnerListAge(now time.Time) int64 {
	switch {
	case r.runnerTable == nil:
		return -1
	case r.announcedRunners != nil:
		return 0
	}
	return now.Sub(r.runnersReadAt).Milliseconds() + 1
}

// publishRunners puts a whole list in the place of the one that daemons are sent.
func (r *Replica) publishRunners(list []registry.Runner, now time.Time) {
	if r.runnerTable == nil {
		r.runnerTable = registry.NewTable(r.processID + "/" + now.Format(time.RFC3339Nano))
	}
	if now.Sub(r.healthSentAt) >= r.healthInterval(list) {
		r.healthSentAt = now
		r.observations.Annotate(list, now)
	} else {
		r.runnerTable.KeepHealth(list)
	}
	r.runnerTable.Update(list)
}

// healthInterval is the least time between two accounts of the health of runners: each
// tells every daemon of about all runners of its zone.
func (r *Replica) healthInterval(list []registry.Runner) time.Duration {
	zones := map[string]bool{}
	for i := range list {
		zones[list[i].Zone] = true
	}
	entries := len(r.positions) * len(list) / max(len(zones), 1)
	return time.Duration(entries) * time.Second / healthEntriesPerS
}

// handleWatchRunners tells a daemon what has changed in the list, or holds its question
// for a moment.
func (r *Replica) handleWatchRunners(watch *rpc.RunnerWatch, _ *transport.Stream, reply replyFunc) {
	r.observations.Add(watch.Observations)
	now := time.Now()
	watcher := runnerWatcher{*watch, reply, now, now.Add(runnerWatchWait)}
	if r.hasUpdateFor(watch) {
		r.replyWithRunners(&watcher, now)
		return
	}
	r.runnerWatchers = append(r.runnerWatchers, watcher)
}

// hasUpdateFor reports whether the list or the configuration is another than a daemon has.
func (r *Replica) hasUpdateFor(watch *rpc.RunnerWatch) bool {
	if r.state.Configuration.Version > watch.ConfigVersion {
		return true
	}
	return r.runnerTable != nil && !r.runnerTable.IsAt(watch.Epoch, watch.Version, watch.Scope)
}

// replyWithRunners returns a daemon what it lacks of the list. Each response names the
// version of the configuration.
func (r *Replica) replyWithRunners(watcher *runnerWatcher, now time.Time) {
	watch := &watcher.watch
	update := rpc.RunnerUpdate{ListAgeMs: r.runnerListAge(now), HeldMs: now.Sub(watcher.askedAt).Milliseconds()}
	if r.runnerTable != nil {
		update.Delta = r.runnerDeltas.since(r.runnerTable, watch)
	}
	if r.state.Configuration.Version > watch.ConfigVersion {
		update.Config, update.ConfigBase = r.configUpdates.since(watch.ConfigVersion, &r.state.Configuration)
	}
	position := r.daemonPosition(watch.Node)
	update.DaemonIndex, update.DaemonCount, update.DaemonTotal = position.index, position.count, position.total
	watcher.reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(update)})
}

// runnerDeltas keeps the encoded changes of the newest version of the list: daemons of a
// zone mostly lack the same. Its zero value is empty.
type runnerDeltas struct {
	table   *registry.Table
	version uint64
	encoded map[deltaKey][]byte
}

// deltaKey is what a change depends on beside the newest version.
type deltaKey struct {
	zone, scope string
	from        registry.Position
}

// since returns the encoded change for a daemon.
func (d *runnerDeltas) since(table *registry.Table, watch *rpc.RunnerWatch) []byte {
	if d.table != table || d.version != table.Version() {
		d.table, d.version, d.encoded = table, table.Version(), map[deltaKey][]byte{}
	}
	key := deltaKey{watch.Zone, watch.Scope, registry.Position{Epoch: watch.Epoch, Version: watch.Version, Digest: watch.Digest}}
	encoded, ok := d.encoded[key]
	if !ok {
		encoded = transport.Encode(table.Since(key.from, key.zone, key.scope))
		d.encoded[key] = encoded
	}
	return encoded
}

// daemonPosition is a daemon's place among those of its role and zone that hold a
// membership lease. It isn't known to a leader that has not heard all of them yet.
func (r *Replica) daemonPosition(node string) daemonPosition {
	now := time.Now()
	if !r.leading || now.Sub(r.leadingSince) < 2*timing.MembershipRenewInterval {
		return daemonPosition{}
	}
	if now.Sub(r.positionsAt) >= timing.MembershipRenewInterval {
		r.expireMemberships(now)
		r.positions, r.positionsAt = positionsByZone(r.memberLeases), now
	}
	return r.positions[node]
}

// daemonPosition is a daemon's place among the daemons of its zone, by their names, and
// the numbers of these and of the daemons of all zones.
type daemonPosition struct{ index, count, total int }

// positionsByZone returns each gateway's place among those of its zone.
func positionsByZone(leases map[string]memberLease) map[string]daemonPosition {
	byZone, total := map[string][]string{}, 0
	for _, lease := range leases {
		if lease.Role == gatewayRole {
			byZone[lease.Zone] = append(byZone[lease.Zone], lease.Node)
			total++
		}
	}
	positions := map[string]daemonPosition{}
	for _, nodes := range byZone {
		slices.Sort(nodes)
		for i, node := range nodes {
			positions[node] = daemonPosition{i, len(nodes), total}
		}
	}
	return positions
}

// gatewayRole is the role of the daemons that watch the list of runners.
const gatewayRole = "gateway"

// replyToRunnerWatchers answers the questions for which there is news, or whose time is
// over; it returns after how long the next one must be answered, 0 for none.
func (r *Replica) replyToRunnerWatchers(now time.Time) time.Duration {
	if !r.leading {
		r.runnerTable, r.observations, r.announcedRunners = nil, registry.NewObservations(), nil
		r.healthSentAt = time.Time{}
	}
	r.publishAnnouncedRunners(now)
	wake := time.Duration(0)
	kept := r.runnerWatchers[:0]
	for _, watcher := range r.runnerWatchers {
		wait := watcher.until.Sub(now)
		switch {
		case !r.leadsWithLease(now):
			watcher.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		case wait <= 0 || r.hasUpdateFor(&watcher.watch):
			r.replyWithRunners(&watcher, now)
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
