package federation

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// callTimeout bounds each call of a peer and each command of the own cluster.
const callTimeout = 2 * time.Second

// LocalCluster is the Offloader's own cluster, reached within this process.
type LocalCluster interface {
	// FederationWork shows what there is to do; nothing on a server that doesn't
	// lead.
	FederationWork(ctx context.Context) PendingWork
	// Propose puts a command into the log, by the name that it is registered
	// under, and waits for its outcome; false if it is unknown whether it was
	// committed.
	Propose(ctx context.Context, name string, command state.Command) (state.Outcome, bool)
}

// Offloader settles transfers and offers jobs to peers. One runs on each server, and
// only that of the leader acts. Its fields belong to its loop (Run).
type Offloader struct {
	settings     Settings
	log          log.Logger
	local        LocalCluster
	peers        map[string]*discovery.Client // by name
	loans        map[string]loan              // by the peer's name
	backoffUntil time.Time                    // nothing is offered before
}

// loan is room that a peer has lent.
type loan struct {
	id                string
	remainingMilliCPU int64 // below 0 once more jobs were offered than fit at a time
	expiresAt         time.Time
}

// New builds an Offloader; it acts once Run is called.
func New(config Settings, logger log.Logger, local LocalCluster) *Offloader {
	offloader := &Offloader{
		settings: config,
		log:      logger,
		local:    local,
		peers:    map[string]*discovery.Client{},
		loans:    map[string]loan{},
	}
	for _, peer := range config.Peers {
		offloader.peers[peer.Name] = discovery.NewClient(discovery.Options{Seeds: peer.Seeds})
	}
	return offloader
}

// Run acts every Settings.IntervalMs until ctx ends.
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

// reconcile does once what there is to do.
func (o *Offloader) reconcile(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
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

// call sends a call to a peer's leader; false if there is no answer.
func (o *Offloader) call(ctx context.Context, peer string, request Call) (Response, bool) {
	config, client := o.settings.findPeer(peer), o.peers[peer]
	if config == nil {
		return Response{}, false
	}
	request.From, request.To = o.settings.Name, peer
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := client.Do(callCtx, rpc.Request{Kind: rpc.KindFederationCall, Body: Sign(config.Key, request)})
	var response Response
	if answer.Code != rpc.CodeOK || transport.Decode(answer.Body, &response) != nil {
		return Response{}, false
	}
	return response, true
}

// settlingCall is the call that moves a transfer on, under the loan of its peer.
func settlingCall(open OpenTransfer, lent loan, now time.Time) Call {
	call := Call{JobID: open.JobID, OfferID: open.OfferID}
	switch {
	case open.Finished:
		call.Kind = CallRelease
	case open.CancelRequested || open.State == state.TransferAccepted:
		// To void an offer also asks for the job's state, since it leaves a job
		// that was accepted as it is.
		call.Kind, call.Cancel = CallWithdrawOffer, open.CancelRequested
	case now.Before(lent.expiresAt):
		call.Kind, call.Route, call.Loan, call.Job = CallOffer, open.Route, lent.id, open.Job
	default:
		// The offer is taken back, since no room is lent any more.
		call.Kind = CallWithdrawOffer
	}
	return call
}

// settle moves one transfer on: the peer's committed state decides its outcome.
func (o *Offloader) settle(ctx context.Context, open OpenTransfer) {
	request := settlingCall(open, o.loans[open.Peer], time.Now())
	response, ok := o.call(ctx, open.Peer, request)
	if !ok || response.Status == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	settle := &state.ResolveTransfer{
		Job:     open.JobID,
		OfferID: open.OfferID,
		Peer:    open.Peer,
		Epoch:   response.Epoch,
		Index:   response.Index,
		Answer:  response.Status,
	}
	outcome, ok := o.local.Propose(callCtx, state.CommandResolveTransfer, settle)
	if ok && outcome.Code == state.CodeConflict {
		_ = o.log.Log("level", "error", "event", "transfer.answer_rejected", "job", open.JobID, "peer", open.Peer, "reason", outcome.Text)
		return
	}
	if ok && (open.State != state.TransferAccepted || response.Status != state.AnswerAccepted) {
		_ = o.log.Log("level", "info", "event", "transfer.settled", "job", open.JobID, "peer", open.Peer,
			"offer", open.OfferID, "status", response.Status)
	}
}
