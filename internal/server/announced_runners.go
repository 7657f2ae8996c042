package server

import (
	"time"

	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/transport"
)

const (
	// announcedSilenceIntervals is the number of heartbeat intervals for which a runner that no
	// platform lists may be silent before it is removed from the list.
	announcedSilenceIntervals = 3
	// announcedRunnersSlack is the time beyond one heartbeat interval for which a new leader waits
	// for heartbeats before it publishes a list.
	announcedRunnersSlack = 500 * time.Millisecond
	// minRunnerHeartbeatInterval is the least interval of runners' heartbeats, also where the
	// settings name none.
	minRunnerHeartbeatInterval = 500 * time.Millisecond
)

// announcedRunners are the runners of gateways that no platform lists; they announce
// themselves to the leader. They are not part of the replicated state: a new leader receives a
// heartbeat of each within one heartbeat interval, and publishes no list before that, so that
// the daemons keep the list that they have.
type announcedRunners struct {
	list      *registry.Announcements
	changed   bool
	publishAt time.Time // no list is published before this time
	expireAt  time.Time // when silent runners are removed next
}

// announced returns the runners that announce themselves to this leader. The first call
// creates the list.
func (r *Replica) announced(now time.Time) *announcedRunners {
	if r.runnerList.announced == nil {
		interval := r.heartbeatInterval()
		r.runnerList.announced = &announcedRunners{
			list:      registry.NewAnnouncements(announcedSilenceIntervals * interval),
			publishAt: now.Add(interval + announcedRunnersSlack),
		}
	}
	return r.runnerList.announced
}

// heartbeatInterval returns the time between two heartbeats of a runner.
func (r *Replica) heartbeatInterval() time.Duration {
	return max(time.Duration(r.settings.HeartbeatIntervalMs)*time.Millisecond, minRunnerHeartbeatInterval)
}

// handleAnnounceRunner records a runner's heartbeat or sign-off. It replies after the change was
// published, if the list may be published already.
func (r *Replica) handleAnnounceRunner(announcement *rpc.RunnerAnnouncement, _ *transport.Stream, reply replyFunc) {
	if r.settings.Deployment != settings.DeploymentAPI || r.settings.Discovery == settings.DiscoveryPlatform {
		reply(responseBadRequest)
		return
	}
	now := time.Now()
	announced := r.announced(now)
	var changed bool
	if announcement.SignsOff {
		drainDuration := time.Duration(r.settings.Bounds.DrainMs * float64(time.Millisecond))
		changed = announced.list.SignOff(announcement.Runner.ID, drainDuration, now)
	} else {
		changed = announced.list.Heartbeat(announcement.Runner, announcement.Sequence, now)
	}
	announced.changed = announced.changed || changed
	r.publishAnnouncedRunners(now)
	reply(responseOK)
}

// publishAnnouncedRunners publishes the announced runners to the daemons if they have changed.
func (r *Replica) publishAnnouncedRunners(now time.Time) {
	announced := r.runnerList.announced
	if announced == nil || now.Before(announced.publishAt) {
		return
	}
	if !now.Before(announced.expireAt) {
		announced.expireAt = now.Add(r.heartbeatInterval() / 2)
		announced.changed = announced.list.Expire(now) || announced.changed
	}
	if announced.changed {
		announced.changed = false
		r.publishRunners(announced.list.Runners(), now)
	}
}
