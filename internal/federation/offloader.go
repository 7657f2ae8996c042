package federation

import (
	"context"
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/discovery"
	"tealpond/internal/forecast"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// LocalCluster is the mover's own cluster: asks to the leader's store in this process.
type LocalCluster interface {
	// FederationWork shows what there is to do; Leads is false on a daemon that
	// doesn't lead, and then there is nothing.
	FederationWork(ctx context.Context) PendingWork
	// Propose puts a command into the log and waits for its outcome; false if it
	// is unclear whether it was.
	Propose(ctx context.Context, kind string, c state.Command) (state.Outcome, bool)
}

// Offloader is the task on each core daemon; only that of the leader acts.
type Offloader struct {
	settings     Settings
	log          log.Logger
	local        LocalCluster
	peers        map[string]*discovery.Client
	loans        map[string]loan
	backoffUntil time.Time // nothing is offered before
}

type loan struct {
	id                string
	remainingMilliCPU int64
	expiresAt         time.Time
}

// New builds a mover.
func New(config Settings, logger log.Logger, local LocalCluster) *Offloader {
	offloader := &Offloader{settings: config, log: logger, local: local, peers: map[string]*discovery.Client{}, loans: map[string]loan{}}
	for _, peer := range config.Peers {
		offloader.peers[peer.Name] = discovery.NewClient(discovery.Options{Seeds: peer.Seeds})
	}
	return offloader
}

// Run turns until ctx ends.
func (o *Offloader) Run(ctx context.Context) {
	for _, client := range o.peers {
		go client.Run(ctx)
	}
	ticker := time.NewTicker(time.Duration(o.settings.IntervalMs) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.reconcile(ctx)
		}
	}
}

func (o *Offloader) reconcile(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	work := o.local.FederationWork(callCtx)
	cancel()
	if !work.IsLeader {
		return
	}
	for _, open := range work.OpenTransfers {
		o.settle(ctx, open)
	}
	o.offerJobs(ctx, work)
}

// call asks a peer's leader.
func (o *Offloader) call(ctx context.Context, peer string, request Call) (Response, bool) {
	config, client := o.settings.findPeer(peer), o.peers[peer]
	if config == nil {
		return Response{}, false
	}
	request.From, request.To = o.settings.Name, peer
	callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	answer := client.Do(callCtx, rpc.Request{Kind: rpc.KindFederationCall, Body: Sign(config.Key, request)})
	var response Response
	if answer.Code != 200 || transport.Decode(answer.Body, &response) != nil {
		return Response{}, false
	}
	return response, true
}

// settle moves one open move on: the peer's log says what holds.
func (o *Offloader) settle(ctx context.Context, open OpenTransfer) {
	request := Call{Kind: CallOffer, JobID: open.JobID, OfferNumber: open.OfferNumber, Route: open.Route, Job: open.Job}
	switch lent, ok := o.loans[open.Peer]; {
	case open.Finished:
		request = Call{Kind: CallRelease, JobID: open.JobID, OfferNumber: open.OfferNumber}
	case open.CancelRequested || open.State == state.TransferAccepted:
		// Why void also to ask: it leaves what was taken as it is.
		request = Call{Kind: CallVoidOffer, JobID: open.JobID, OfferNumber: open.OfferNumber, Cancel: open.CancelRequested}
	case ok && time.Now().Before(lent.expiresAt):
		request.Loan = lent.id
	default:
		// Why taken back: there is no room lent any more.
		request = Call{Kind: CallVoidOffer, JobID: open.JobID, OfferNumber: open.OfferNumber}
	}
	response, ok := o.call(ctx, open.Peer, request)
	if !ok || response.Status == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	outcome, ok := o.local.Propose(callCtx, "settle", &state.SettleTransfer{Job: open.JobID, OfferID: open.OfferNumber, Peer: open.Peer, Epoch: response.Epoch, Index: response.Index, Answer: response.Status})
	if ok && outcome.Code == 409 {
		_ = o.log.Log("level", "error", "event", "move.distrusted", "job", open.JobID, "peer", open.Peer, "why", outcome.Text)
		return
	}
	if ok && (open.State != state.TransferAccepted || response.Status != "taken") {
		_ = o.log.Log("level", "info", "event", "move.settled", "job", open.JobID, "peer", open.Peer, "no", open.OfferNumber, "word", response.Status)
	}
}

// dayShape is how the record's buckets form days.
func (s *Settings) dayShape() forecast.DayShape {
	return forecast.DayShape{BucketsPerDay: int64(s.DayS / s.BucketS), MinDays: s.MinDays}
}

// BucketOf is the bucket of a true time in ms.
func (s *Settings) BucketOf(wallMs int64) int64 { return int64(float64(wallMs) / 1000 / s.BucketS) }

// demandLimit is the demand of a bucket, in core-ms, from which it is crowded.
func (s *Settings) demandLimit(capacityMilliCPU int64) float64 {
	return s.CrowdedShare * float64(capacityMilliCPU) / 1000 * s.BucketS * 1000
}

// Crowded tells whether the record foresees too little room.
func (s *Settings) Crowded(work PendingWork) bool {
	if work.CapacityMilliCPU == 0 {
		return false
	}
	_, _, ok := forecast.FirstCrowded(work.Demand, s.BucketOf(work.WallMs)-1, int64(s.HorizonBuckets)+1, s.demandLimit(work.CapacityMilliCPU), s.dayShape())
	return ok
}

// LendableMilliCPU is the room, in thousandths of a core, that may be lent.
func (s *Settings) LendableMilliCPU(work PendingWork) int64 {
	// Why the whole loan: room that is free until the own rush begins would
	// still be out when it does.
	ahead := max(int64(s.HorizonBuckets), int64(math.Ceil(s.LoanS/s.BucketS))) + 1
	free, ok := forecast.FreeCapacity(work.Demand, s.BucketOf(work.WallMs)-1, ahead, s.demandLimit(work.CapacityMilliCPU), s.dayShape())
	if !ok {
		return 0
	}
	return min(int64(free/s.BucketS), int64(s.LendShare*float64(work.CapacityMilliCPU)))
}

// offerJobs offers jobs that can wait while a crowd is foreseen.
func (o *Offloader) offerJobs(ctx context.Context, work PendingWork) {
	if len(work.Candidates) == 0 || !o.settings.Crowded(work) || time.Now().Before(o.backoffUntil) {
		return
	}
	sort.SliceStable(work.Candidates, func(a, b int) bool { return work.Candidates[a].Priority > work.Candidates[b].Priority })
	offered := 0
	for _, candidate := range work.Candidates {
		route := o.route(candidate.Route)
		// Why once: a job must not go back and forth.
		if route == nil || candidate.Offers > 0 || offered >= o.settings.MaxOffers {
			continue
		}
		lent, ok := o.borrow(ctx, work, route.Peer, candidate.MilliCPU)
		if !ok {
			return
		}
		lent.remainingMilliCPU -= candidate.MilliCPU
		o.loans[route.Peer] = lent
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		outcome, ok := o.local.Propose(callCtx, "offer", &state.OfferJob{Job: candidate.JobID, Peer: route.Peer})
		cancel()
		if ok && outcome.Code == 200 {
			offered++
			_ = o.log.Log("level", "info", "event", "move.offered", "job", candidate.JobID, "peer", route.Peer, "no", outcome.Value)
		}
	}
}

// borrow asks a peer for room for a while, unless some is left.
func (o *Offloader) borrow(ctx context.Context, work PendingWork, peer string, milliCPU int64) (loan, bool) {
	lent := o.loans[peer]
	if time.Now().Before(lent.expiresAt) {
		// Why more jobs than room: they follow one another in it.
		return lent, lent.remainingMilliCPU > -8*max(milliCPU, 1)
	}
	id := fmt.Sprintf("%s/%s/%d", o.settings.Name, work.Epoch, work.Index)
	response, ok := o.call(ctx, peer, Call{Kind: CallLoan, Loan: id, MilliCPU: max(milliCPU, 1), DurationMs: int64(o.settings.LoanS * 1000)})
	if !ok || response.Status != "lent" {
		o.backoffUntil = time.Now().Add(seconds(o.settings.BucketS) / 4)
		_ = o.log.Log("level", "info", "event", "move.noloan", "peer", peer, "word", response.Status)
		return loan{}, false
	}
	// Why a little shorter here: offers must arrive while it lasts.
	lent = loan{id: id, remainingMilliCPU: response.MilliCPU, expiresAt: time.Now().Add(seconds(o.settings.LoanS) - seconds(o.settings.LoanS)/10)}
	o.loans[peer] = lent
	_ = o.log.Log("level", "info", "event", "move.borrowed", "peer", peer, "cpu", response.MilliCPU, "loan", id)
	return lent, true
}

func (o *Offloader) route(local string) *Route {
	for i := range o.settings.Routes {
		if o.settings.Routes[i].LocalRoute == local {
			return &o.settings.Routes[i]
		}
	}
	return nil
}
