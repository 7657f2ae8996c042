package server

import (
	"context"
	"time"

	"tealpond/internal/bootstrap"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// The rounds of the announcer are bootstrap.AnnounceInterval apart.
const (
	// announceRoundInterval is the number of rounds between two introductions of a voter to the
	// seeds, and between two announcements of the first cluster, while this server starts: seeds
	// may start later than this server. After startupIntroductionRounds rounds, a voter
	// introduces itself each introductionRoundInterval rounds.
	announceRoundInterval     = 4
	startupIntroductionRounds = 40
	introductionRoundInterval = 40
	// candidateJoinRoundInterval is the number of rounds between two attempts of a candidate to join
	// an existing cluster.
	candidateJoinRoundInterval = 12
	// learnerJoinRoundInterval is the number of rounds after which a learner that the leader has
	// accepted repeats its request to join.
	learnerJoinRoundInterval = 8
	// joinTimeout bounds one request to join a cluster.
	joinTimeout = time.Second
	// rejoinLeaderlessTimeout is how long a voter may know no leader before it requests to join
	// again, since it may have been replaced.
	rejoinLeaderlessTimeout = 3 * time.Second
)

// requestAnnouncerState is the kind of the announcer's request to the loop of this server.
const requestAnnouncerState = "state"

// announcerState is the loop's answer to the announcer: the membership phase of this server,
// what it announces, and the leader.
type announcerState struct {
	phase        membershipPhase
	announcement rpc.BootstrapAnnouncement
	leader       string // its address; empty if unknown
}

// membershipPhase is the phase of a server's membership of the cluster.
type membershipPhase byte

const (
	phaseCandidate      = membershipPhase(iota) // it knows of no cluster yet
	phaseJoining                                // it wants to join an existing cluster
	phaseVoter                                  // it is a voter of the cluster
	phaseOpeningStorage                         // its storage is not open, so it has no identity to announce
)

// runAnnouncer announces this candidate to the seeds until it is a member, and after that
// the cluster that was bootstrapped. It returns when ctx ends.
func (r *Replica) runAnnouncer(ctx context.Context) {
	ticker := time.NewTicker(bootstrap.AnnounceInterval)
	defer ticker.Stop()
	var announcer announcer
	leader := ""
	for announcer.round = 1; ; announcer.round++ {
		received := make(chan announcerState, 1)
		r.HandleLocal(rpc.Request{Kind: requestAnnouncerState}, func(response rpc.Response) {
			var announcement rpc.BootstrapAnnouncement
			_ = transport.Decode(response.Body, &announcement) // encoded by this process
			received <- announcerState{membershipPhase(response.Value), announcement, response.Leader}
		})
		select {
		case current := <-received:
			if current.leader != leader && current.leader != "" {
				// After a restart, the configured seeds may be down or removed, but
				// the log names the members.
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

// announcer is the announcer's state between two rounds.
type announcer struct {
	round        int
	selector     bootstrap.SeedSelector
	joinedLeader string // the address of the leader that has accepted this learner
}

// announce runs one round of the announcer.
func (r *Replica) announce(ctx context.Context, announcer *announcer, current announcerState) {
	round := announcer.round
	switch current.phase {
	case phaseOpeningStorage:
		r.leaderClient.Introduce(ctx, *r.seeds.Load())
	case phaseJoining:
		if current.leader == "" || current.leader != announcer.joinedLeader || round%learnerJoinRoundInterval == 0 {
			announcer.joinedLeader = ""
			if r.requestJoin(ctx, current.announcement.Voter, joinTimeout) {
				announcer.joinedLeader = current.leader
			}
		}
		if current.announcement.NotFirstStart {
			r.announceToSeed(ctx, &announcer.selector, current.announcement)
		}
	case phaseVoter:
		starting := round < startupIntroductionRounds && round%announceRoundInterval == 1
		if starting || round%introductionRoundInterval == 0 {
			r.leaderClient.Introduce(ctx, *r.seeds.Load())
		}
		justFormed := r.settings.FirstStart && round < bootstrap.AnnounceRounds && round%announceRoundInterval == 1
		if justFormed || round%introductionRoundInterval == 0 {
			r.announceBootstrapped(ctx, current.announcement)
		}
	default:
		r.announceToSeed(ctx, &announcer.selector, current.announcement)
		if round%candidateJoinRoundInterval == 0 && len(current.announcement.BoundVoters) == 0 {
			// The cluster may have been bootstrapped without this server because it
			// was slow, and the seed may no longer know of it.
			if r.requestJoin(ctx, current.announcement.Voter, transport.DialTimeout) {
				r.post(ctx, loopEvent{bootstrapProposal: &rpc.BootstrapProposal{Voters: []raft.Member{{}}}})
			}
		}
	}
}

// requestJoin asks the leader to let this server join. It returns false if no leader
// answered, or if it refused.
func (r *Replica) requestJoin(ctx context.Context, self raft.Member, timeout time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.leaderClient.Call(callCtx, rpc.KindJoin, self).Code == rpc.CodeOK
}

// announcerResponse returns the response to requestAnnouncerState.
func (r *Replica) announcerResponse() rpc.Response {
	announcement := rpc.BootstrapAnnouncement{Voter: r.self, BoundVoters: r.persisted.Founders, NotFirstStart: r.isUninitialized()}
	return rpc.Response{Value: int64(r.currentPhase()), Leader: r.leaderAddress(), Body: transport.Encode(announcement)}
}

// currentPhase returns the membership phase of this server.
func (r *Replica) currentPhase() membershipPhase {
	switch {
	case !r.StorageOpened():
		return phaseOpeningStorage
	case r.node == nil:
		return phaseCandidate
	case !r.node.IsVoter(r.self.ID), r.node.Leader() == "" && time.Since(r.joinRequestedAt) > rejoinLeaderlessTimeout:
		// A voter that knows no leader joins again too: it may have been replaced
		// while it was away, and only the leader can add it again.
		r.joinRequestedAt = time.Now()
		return phaseJoining
	}
	return phaseVoter
}

// announceToSeed announces a candidate to the seed that forms the first cluster. The seed's
// proposal is posted to the loop as an event.
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

// announceBootstrapped announces the voters of the first cluster to all seeds, so that no
// seed proposes another set to candidates that start late.
func (r *Replica) announceBootstrapped(ctx context.Context, announcement rpc.BootstrapAnnouncement) {
	if len(announcement.BoundVoters) == 0 {
		return
	}
	for _, seed := range *r.seeds.Load() {
		go func() {
			// The error is ignored: the announcement is repeated in later rounds.
			_, _ = rpc.Call(ctx, seed, rpc.KindBootstrap, transport.Encode(announcement), transport.DialTimeout)
		}()
	}
}
