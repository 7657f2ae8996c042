package server

import (
	"context"
	"time"

	"tealpond/internal/bootstrap"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// The announcer's turns are bootstrap.AnnounceInterval apart.
const (
	// A voter introduces itself to the seeds and announces the first cluster each
	// fourth turn, as seeds may start later than this server; after introduceOften
	// turns it introduces itself each introduceRarely-th.
	announceEvery   = 4
	introduceOften  = 40
	introduceRarely = 40
	// A candidate tries each askToJoin-th turn to join a cluster that exists already.
	askToJoin = 12
	// A learner that the leader has taken in asks again each repeatJoin-th turn.
	repeatJoin = 8
	// joinTimeout bounds one request to be taken into a cluster.
	joinTimeout = time.Second
	// leaderlessBeforeJoin is how long a voter may know no leader before it asks
	// whether it was replaced.
	leaderlessBeforeJoin = 3 * time.Second
)

// requestAnnouncerState is the request of this server's announcer to its loop.
const requestAnnouncerState = "state"

// announcerState is what the loop tells its own announcer: how this server stands to
// the cluster, and who leads.
type announcerState struct {
	phase        membershipPhase
	announcement rpc.BootstrapAnnouncement
	leader       string // its address; empty if unknown
}

// membershipPhase is how a server stands to the cluster.
type membershipPhase byte

const (
	phaseCandidate      = membershipPhase(iota) // there is no cluster yet, as far as it knows
	phaseJoining                                // it wants to be taken into a cluster that exists
	phaseVoter                                  // it belongs to the cluster
	phaseOpeningStorage                         // it has no identity to announce yet
)

// runAnnouncer announces this candidate to the seeds until it is a member, and then
// the cluster that was bootstrapped. It ends with ctx.
func (r *Replica) runAnnouncer(ctx context.Context) {
	ticker := time.NewTicker(bootstrap.AnnounceInterval)
	defer ticker.Stop()
	var announcer announcer
	leader := ""
	for announcer.round = 1; ; announcer.round++ {
		received := make(chan announcerState, 1)
		r.HandleLocal(rpc.Request{Kind: requestAnnouncerState}, func(response rpc.Response) {
			var announcement rpc.BootstrapAnnouncement
			_ = transport.Decode(response.Body, &announcement) // by this process itself
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
			r.announce(ctx, &announcer, current)
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

// announcer is what the announcer keeps between its turns.
type announcer struct {
	round        int
	selector     bootstrap.SeedSelector
	joinedLeader string // the address of the leader that has taken this learner in
}

// announce is one turn of the announcer.
func (r *Replica) announce(ctx context.Context, announcer *announcer, current announcerState) {
	round := announcer.round
	switch current.phase {
	case phaseOpeningStorage:
		r.leaderClient.Introduce(ctx, *r.seeds.Load())
	case phaseJoining:
		if current.leader == "" || current.leader != announcer.joinedLeader || round%repeatJoin == 0 {
			announcer.joinedLeader = ""
			if r.requestJoin(ctx, current.announcement.Voter, joinTimeout) {
				announcer.joinedLeader = current.leader
			}
		}
		if current.announcement.NotFirstStart {
			r.announceToSeed(ctx, &announcer.selector, current.announcement)
		}
	case phaseVoter:
		often := round < introduceOften && round%announceEvery == 1
		if often || round%introduceRarely == 0 {
			r.leaderClient.Introduce(ctx, *r.seeds.Load())
		}
		justFormed := r.settings.FirstStart && round < bootstrap.AnnounceRounds && round%announceEvery == 1
		if justFormed || round%introduceRarely == 0 {
			r.announceBootstrapped(ctx, current.announcement)
		}
	default:
		r.announceToSeed(ctx, &announcer.selector, current.announcement)
		if round%askToJoin == 0 && len(current.announcement.BoundVoters) == 0 {
			// The cluster may have been bootstrapped while this server was slow,
			// and the seed may have forgotten it.
			if r.requestJoin(ctx, current.announcement.Voter, transport.DialTimeout) {
				r.post(ctx, loopEvent{bootstrapProposal: &rpc.BootstrapProposal{Voters: []raft.Member{{}}}})
			}
		}
	}
}

// requestJoin asks the leader to take this server in; false if there was none, or
// it refused.
func (r *Replica) requestJoin(ctx context.Context, self raft.Member, timeout time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.leaderClient.Call(callCtx, rpc.KindJoin, self).Code == rpc.CodeOK
}

// announcerResponse tells the announcer what to announce.
func (r *Replica) announcerResponse() rpc.Response {
	announcement := rpc.BootstrapAnnouncement{Voter: r.self, BoundVoters: r.persisted.Founders, NotFirstStart: r.isBlank()}
	return rpc.Response{Value: int64(r.currentPhase()), Leader: r.leaderAddress(), Body: transport.Encode(announcement)}
}

// currentPhase is how this server stands to the cluster now.
func (r *Replica) currentPhase() membershipPhase {
	switch {
	case !r.StorageOpened():
		return phaseOpeningStorage
	case r.node == nil:
		return phaseCandidate
	case !r.node.IsVoter(r.self.ID), r.node.Leader() == "" && time.Since(r.joinRequestedAt) > leaderlessBeforeJoin:
		// Also a voter that knows no leader: it may have been replaced while
		// it was away, and only the leader can take it back.
		r.joinRequestedAt = time.Now()
		return phaseJoining
	}
	return phaseVoter
}

// announceToSeed announces a candidate to the seed that forms the first cluster; its
// proposal comes back as an event.
func (r *Replica) announceToSeed(ctx context.Context, selector *bootstrap.SeedSelector, announcement rpc.BootstrapAnnouncement) {
	seed := selector.Select(*r.seeds.Load(), time.Now())
	if seed == "" {
		return
	}
	response, err := rpc.Call(ctx, seed, rpc.KindBootstrap, transport.Encode(announcement), transport.DialTimeout)
	var proposal rpc.BootstrapProposal
	if err != nil || transport.Decode(response.Body, &proposal) != nil {
		return
	}
	selector.OnResponse(time.Now())
	r.post(ctx, loopEvent{bootstrapProposal: &proposal})
}

// announceBootstrapped tells all seeds of the set that formed the first cluster, so
// that none of them proposes another to candidates that come late.
func (r *Replica) announceBootstrapped(ctx context.Context, announcement rpc.BootstrapAnnouncement) {
	if len(announcement.BoundVoters) == 0 {
		return
	}
	for _, seed := range *r.seeds.Load() {
		go func() {
			// The error is dropped: the announcement is repeated in later turns.
			_, _ = rpc.Call(ctx, seed, rpc.KindBootstrap, transport.Encode(announcement), transport.DialTimeout)
		}()
	}
}
