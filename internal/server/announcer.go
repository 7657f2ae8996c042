package server

import (
	"context"
	"time"

	"tealpond/internal/bootstrap"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// announcerState is what the loop tells its own announcer: the standing of this
// daemon, and who leads.
type announcerState struct {
	phase        membershipPhase
	announcement rpc.BootstrapAnnouncement
	leader       string
}

// membershipPhase is how a core daemon stands to the core.
type membershipPhase byte

const (
	phaseCandidate = membershipPhase(iota) // the core isn't founded, as far as it knows
	phaseJoining                           // it wants to be taken into a core that exists
	phaseVoter
	phaseOpeningStorage // its disk isn't open yet: it has no identity to announce
)

// runAnnouncer tells the seeds of this candidate until it is a member, and then of
// the core that was founded.
func (r *Replica) runAnnouncer(ctx context.Context) {
	ticker := time.NewTicker(tuning.BootstrapAnnounceInterval)
	defer ticker.Stop()
	var announcer bootstrap.SeedSelector
	leader := ""
	for round := 1; ; round++ {
		received := make(chan announcerState, 1)
		r.HandleLocal(rpc.Request{Kind: requestAnnouncerState}, func(response rpc.Response) {
			var announcement rpc.BootstrapAnnouncement
			_ = transport.Decode(response.Body, &announcement)
			received <- announcerState{membershipPhase(response.Value), announcement, response.Leader}
		})
		select {
		case current := <-received:
			if current.leader != leader && current.leader != "" {
				// The seeds of a daemon that was restarted may be down or gone,
				// but its log names the members.
				r.leaderClient.AddServer(current.leader)
			}
			leader = current.leader
			switch current.phase {
			case phaseOpeningStorage:
				r.leaderClient.Introduce(ctx, *r.seeds.Load())
			case phaseJoining:
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				r.leaderClient.Call(callCtx, rpc.KindJoin, current.announcement.Voter)
				cancel()
				if current.announcement.NotFirstStart {
					r.announceToSeed(ctx, &announcer, current.announcement)
				}
			case phaseVoter:
				// Often at first, since seeds may start later than this daemon.
				if round < 40 && round%4 == 1 || round%40 == 0 {
					r.leaderClient.Introduce(ctx, *r.seeds.Load())
				}
				if r.settings.FirstStart && round < tuning.BootstrapAnnounceRounds && round%4 == 1 {
					r.announceBootstrapped(ctx, current.announcement)
				}
			default:
				r.announceToSeed(ctx, &announcer, current.announcement)
				if round%12 == 0 && len(current.announcement.BoundVoters) == 0 {
					// The core may have been founded while this daemon was
					// slow, and the seed may have forgotten it.
					callCtx, cancel := context.WithTimeout(ctx, tuning.DialTimeout)
					if r.leaderClient.Call(callCtx, rpc.KindJoin, current.announcement.Voter).Code == 200 {
						r.events <- Event{BootstrapProposal: &rpc.BootstrapProposal{Voters: []raft.Member{{}}}}
					}
					cancel()
				}
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// requestAnnouncerState is the request of this daemon's announcer to its loop.
const requestAnnouncerState = "state"

// announcerResponse tells the announcer what to announce.
func (r *Replica) announcerResponse() rpc.Response {
	announcement := rpc.BootstrapAnnouncement{Voter: r.self, BoundVoters: r.persisted.Founders, NotFirstStart: r.isBlank()}
	response := rpc.Response{Value: int64(phaseVoter), Leader: r.leaderAddress(), Body: transport.Encode(announcement)}
	switch {
	case !r.StorageOpened():
		response.Value = int64(phaseOpeningStorage)
	case r.node == nil:
		response.Value = int64(phaseCandidate)
	case !r.node.IsVoter(r.self.ID), r.node.Leader() == "" && time.Since(r.joinRequestedAt) > 3*time.Second:
		// Also a voter that knows no leader: it may have been replaced while
		// it was away, and only the leader can take it back.
		r.joinRequestedAt = time.Now()
		response.Value = int64(phaseJoining)
	}
	return response
}

// announceToSeed announces a candidate to the seed that gathers the first core.
func (r *Replica) announceToSeed(ctx context.Context, announcer *bootstrap.SeedSelector, announcement rpc.BootstrapAnnouncement) {
	seed := announcer.Select(*r.seeds.Load(), time.Now())
	if seed == "" {
		return
	}
	response, err := rpc.Call(ctx, seed, rpc.KindBootstrap, transport.Encode(announcement), tuning.DialTimeout)
	var proposal rpc.BootstrapProposal
	if err != nil || transport.Decode(response.Body, &proposal) != nil {
		return
	}
	announcer.OnResponse(time.Now())
	select {
	case r.events <- Event{BootstrapProposal: &proposal}:
	case <-ctx.Done():
	}
}

// announceBootstrapped tells all seeds of the set that founded the core, so that none of
// them proposes another to candidates that came late.
func (r *Replica) announceBootstrapped(ctx context.Context, announcement rpc.BootstrapAnnouncement) {
	if len(announcement.BoundVoters) == 0 {
		return
	}
	for _, seed := range *r.seeds.Load() {
		go func() {
			_, _ = rpc.Call(ctx, seed, rpc.KindBootstrap, transport.Encode(announcement), tuning.DialTimeout)
		}()
	}
}
