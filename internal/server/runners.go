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

// runnerList is the list of runners that a leader keeps for the daemons.
type runnerList struct {
	table        *registry.Table   // what daemons are sent; nil: nothing is published
	deltas       runnerDeltas      // encoded
	readAt       time.Time         // since when changes may be missing in the list
	healthSentAt time.Time         // when daemons were last sent the runners' health
	announced    *announcedRunners // what runners tell of themselves, where no platform lists them
	watchers     []runnerWatcher
	positions    map[string]daemonPosition // of daemons, by node
	positionsAt  time.Time
	observations *registry.Observations // of runners, by all daemons
}

func newRunnerList() runnerList { return runnerList{observations: registry.NewObservations()} }

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
	r.runnerList.readAt = now.Add(-time.Duration(list.AgeMs) * time.Millisecond)
	reply(responseOK)
}

// runnerListAge is since when changes may be missing in the list, in ms; negative if it
// isn't known. What runners announce is in the list once it is acknowledged.
func (r *Replica) runnerListAge(now time.Time) int64 {
	switch {
	case r.runnerList.table == nil:
		return -1
	case r.runnerList.announced != nil:
		return 0
	}
	return now.Sub(r.runnerList.readAt).Milliseconds() + 1
}

// publishRunners puts a whole list in the place of the one that daemons are sent.
func (r *Replica) publishRunners(list []registry.Runner, now time.Time) {
	if r.runnerList.table == nil {
		r.runnerList.table = registry.NewTable(r.processID + "/" + now.Format(time.RFC3339Nano))
	}
	if now.Sub(r.runnerList.healthSentAt) >= r.healthInterval(list) {
		r.runnerList.healthSentAt = now
		r.runnerList.observations.Annotate(list, now)
	} else {
		r.runnerList.table.KeepHealth(list)
	}
	r.runnerList.table.Update(list)
}

// healthInterval is the least time between two accounts of the health of runners: each
// tells every daemon of about all runners of its zone.
func (r *Replica) healthInterval(list []registry.Runner) time.Duration {
	zones := map[string]bool{}
	for i := range list {
		zones[list[i].Zone] = true
	}
	entries := len(r.runnerList.positions) * len(list) / max(len(zones), 1)
	return time.Duration(entries) * time.Second / healthEntriesPerS
}

// handleWatchRunners tells a daemon what has changed in the list, or holds its question
// for a moment.
func (r *Replica) handleWatchRunners(watch *rpc.RunnerWatch, _ *transport.Stream, reply replyFunc) {
	r.runnerList.observations.Add(watch.Observations)
	now := time.Now()
	watcher := runnerWatcher{*watch, reply, now, now.Add(runnerWatchWait)}
	if r.hasUpdateFor(watch) {
		r.replyWithRunners(&watcher, now)
		return
	}
	r.runnerList.watchers = append(r.runnerList.watchers, watcher)
}

// hasUpdateFor reports whether the list or the configuration is another than a daemon has.
func (r *Replica) hasUpdateFor(watch *rpc.RunnerWatch) bool {
	if r.state.Configuration.Version > watch.ConfigVersion {
		return true
	}
	return r.runnerList.table != nil && !r.runnerList.table.IsAt(watch.Epoch, watch.Version, watch.Scope)
}

// replyWithRunners gives a daemon what it lacks of the list. Each response names the
// version of the configuration.
func (r *Replica) replyWithRunners(watcher *runnerWatcher, now time.Time) {
	watch := &watcher.watch
	update := rpc.RunnerUpdate{ListAgeMs: r.runnerListAge(now), HeldMs: now.Sub(watcher.askedAt).Milliseconds()}
	if r.runnerList.table != nil {
		update.Delta = r.runnerList.deltas.since(r.runnerList.table, watch)
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
	if now.Sub(r.runnerList.positionsAt) >= timing.MembershipRenewInterval {
		r.expireMemberships(now)
		r.runnerList.positions, r.runnerList.positionsAt = positionsByZone(r.memberLeases), now
	}
	return r.runnerList.positions[node]
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
		r.runnerList.table, r.runnerList.observations, r.runnerList.announced = nil, registry.NewObservations(), nil
		r.runnerList.healthSentAt = time.Time{}
	}
	r.publishAnnouncedRunners(now)
	wake := time.Duration(0)
	kept := r.runnerList.watchers[:0]
	for _, watcher := range r.runnerList.watchers {
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
	clear(r.runnerList.watchers[len(kept):])
	r.runnerList.watchers = kept
	return wake
}
