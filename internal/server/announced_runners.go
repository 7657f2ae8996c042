package server

import (
	"time"

	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/transport"
)

const (
	// announcedSilenceIntervals is how many intervals of heartbeats a runner that no platform lists
	// may be silent before it is taken off the list.
	announcedSilenceIntervals = 3
	// announcedRunnersSlack is how much longer than one interval a new leader waits for heartbeats
	// before it publishes a list.
	announcedRunnersSlack = 500 * time.Millisecond
	// minRunnerHeartbeatInterval is the interval of runners' heartbeats where the settings name none.
	minRunnerHeartbeatInterval = 500 * time.Millisecond
)

// announcedRunners are the runners of gateways that no platform lists, as the leader hears
// of them. They are not part of the state: a new leader hears of each within one interval
// of heartbeats, and publishes no list before that, so that the daemons go on with the one
// that they have.
type announcedRunners struct {
	list      *registry.Announcements
	changed   bool
	publishAt time.Time // the first list isn't published before
	expireAt  time.Time
}

// announced returns the runners that announce themselves to this leader.
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

// heartbeatInterval is the time between two heartbeats of a runner.
func (r *Replica) heartbeatInterval() time.Duration {
	return max(time.Duration(r.settings.HeartbeatIntervalMs)*time.Millisecond, minRunnerHeartbeatInterval)
}

// handleAnnounceRunner takes a runner's heartbeat or sign-off. The answer is given once the
// list that daemons are sent has it.
func (r *Replica) handleAnnounceRunner(announcement *rpc.RunnerAnnouncement, _ *transport.Stream, reply replyFunc) {
	if r.settings.Deployment != settings.DeploymentAPI || r.settings.Discovery == settings.DiscoveryPlatform {
		reply(responseBadRequest)
		return
	}
	now := time.Now()
	announced := r.announced(now)
	var changed bool
	if announcement.SignsOff {
		goesOn := time.Duration(r.settings.Bounds.DrainMs * float64(time.Millisecond))
		changed = announced.list.SignOff(announcement.Runner.ID, goesOn, now)
	} else {
		changed = announced.list.Heartbeat(announcement.Runner, announcement.Sequence, now)
	}
	announced.changed = announced.changed || changed
	r.publishAnnouncedRunners(now)
	reply(responseOK)
}

// publishAnnouncedRunners puts what has changed into the list that daemons are sent.
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
