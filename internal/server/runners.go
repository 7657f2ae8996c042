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
	// runnerWatchWait is how long the leader holds a watch of the runner list; it is below
	// timing.RequestAttemptTimeout.
	runnerWatchWait = 350 * time.Millisecond
	// healthEntriesPerS bounds the runner health entries per second that the leader sends to all
	// daemons together.
	healthEntriesPerS = 15_000
)

// runnerList is the list of runners that a leader keeps for the daemons.
type runnerList struct {
	table        *registry.Table   // published to daemons; nil if nothing is published
	deltas       runnerDeltas      // encoded changes of table
	readAt       time.Time         // the list includes all changes up to this time
	healthSentAt time.Time         // when the runners' health was last published
	announced    *announcedRunners // runners that announce themselves, where no platform lists them
	watchers     []runnerWatcher
	positions    map[string]daemonPosition // of daemons, by node
	positionsAt  time.Time                 // when positions were computed
	observations *registry.Observations    // observations of runners by all daemons
}

func newRunnerList() runnerList { return runnerList{observations: registry.NewObservations()} }

// runnerWatcher is a daemon's watch of the runner list, held until there is a change or its
// deadline has passed.
type runnerWatcher struct {
	watch      rpc.RunnerWatch
	reply      replyFunc
	receivedAt time.Time
	deadline   time.Time
}

// handlePublishRunners publishes the platform's list as the leader's process has read it.
// The list is not part of the replicated state: a new leader reads it again.
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

// runnerListAge returns for how long, in ms, changes may have been missing from the list; negative
// if there is no list. Announcements of runners are in the list once they are acknowledged.
func (r *Replica) runnerListAge(now time.Time) int64 {
	switch {
	case r.runnerList.table == nil:
		return -1
	case r.runnerList.announced != nil:
		return 0
	}
	return now.Sub(r.runnerList.readAt).Milliseconds() + 1
}

// publishRunners replaces the list that is published to daemons.
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

// healthInterval returns the minimum time between two updates of the runners' health: each
// update sends every daemon about one entry for each runner of its zone.
func (r *Replica) healthInterval(list []registry.Runner) time.Duration {
	zones := map[string]bool{}
	for i := range list {
		zones[list[i].Zone] = true
	}
	entries := len(r.runnerList.positions) * len(list) / max(len(zones), 1)
	return time.Duration(entries) * time.Second / healthEntriesPerS
}

// handleWatchRunners sends a daemon the changes of the list, or holds its watch for up to
// runnerWatchWait.
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

// hasUpdateFor reports whether the list or the configuration differs from that of a daemon.
func (r *Replica) hasUpdateFor(watch *rpc.RunnerWatch) bool {
	if r.state.Configuration.Version > watch.ConfigVersion {
		return true
	}
	return r.runnerList.table != nil && !r.runnerList.table.IsAt(watch.Epoch, watch.Version, watch.Scope)
}

// replyWithRunners sends a daemon the changes of the list and of the configuration that it
// lacks. Each response names the version of the configuration.
func (r *Replica) replyWithRunners(watcher *runnerWatcher, now time.Time) {
	watch := &watcher.watch
	update := rpc.RunnerUpdate{ListAgeMs: r.runnerListAge(now), HeldMs: now.Sub(watcher.receivedAt).Milliseconds()}
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

// runnerDeltas caches the encoded changes up to the newest version of the list: daemons of
// a zone usually need the same delta. Its zero value is empty.
type runnerDeltas struct {
	table   *registry.Table
	version uint64
	encoded map[deltaKey][]byte
}

// deltaKey holds the parameters of a change besides the newest version.
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

// daemonPosition returns a daemon's position among those of its role and zone that hold a
// membership lease. It is zero while a new leader may not have received all their leases yet.
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

// daemonPosition is a daemon's position among the daemons of its zone, sorted by name, and
// the number of daemons in its zone and in all zones.
type daemonPosition struct{ index, count, total int }

// positionsByZone returns each gateway's position among those of its zone.
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

// gatewayRole is the role of the daemons that watch the runner list.
const gatewayRole = "gateway"

// replyToRunnerWatchers answers the watches for which there is an update, or whose deadline
// has passed. It returns the time until the next one must be answered, 0 if there is none. On a
// replica that does not lead, it discards the list.
func (r *Replica) replyToRunnerWatchers(now time.Time) time.Duration {
	if !r.leading {
		r.runnerList.table, r.runnerList.observations, r.runnerList.announced = nil, registry.NewObservations(), nil
		r.runnerList.healthSentAt = time.Time{}
	}
	r.publishAnnouncedRunners(now)
	untilNext := time.Duration(0)
	kept := r.runnerList.watchers[:0]
	for _, watcher := range r.runnerList.watchers {
		wait := watcher.deadline.Sub(now)
		switch {
		case !r.leadsWithLease(now):
			watcher.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		case wait <= 0 || r.hasUpdateFor(&watcher.watch):
			r.replyWithRunners(&watcher, now)
		default:
			kept = append(kept, watcher)
			if untilNext == 0 || wait < untilNext {
				untilNext = wait
			}
		}
	}
	clear(r.runnerList.watchers[len(kept):])
	r.runnerList.watchers = kept
	return untilNext
}
