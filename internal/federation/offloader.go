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

// callTimeout bounds each call to a peer and each request to the local cluster.
const callTimeout = 2 * time.Second

// LocalCluster is the cluster of the Offloader, accessed within this process.
type LocalCluster interface {
	// FederationWork returns the pending work; it is empty on a server that isn't the leader.
	FederationWork(ctx context.Context) PendingWork
	// Propose proposes a command, by its registered name, to the log and waits for its outcome;
	// false if it is unknown whether it was committed.
	Propose(ctx context.Context, name string, command state.Command) (state.Outcome, bool)
}

// Offloader offers jobs to peers and resolves open transfers. One runs on each server, but only
// the leader's acts. Its fields are used by the goroutine of Run only.
type Offloader struct {
	settings     Settings
	log          log.Logger
	local        LocalCluster
	peers        map[string]*discovery.Client // by name
	loans        map[string]loan              // by peer name
	backoffUntil time.Time                    // no jobs are offered before
}

// loan is capacity that a peer has lent.
type loan struct {
	id                string
	remainingMilliCPU int64 // below 0 once more jobs were offered than fit at the same time
	expiresAt         time.Time
}

// New returns an Offloader; it acts once Run is called.
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

// Run reconciles every Settings.IntervalMs until ctx is done.
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

// reconcile resolves the open transfers and offers jobs once, if this server is the leader.
func (o *Offloader) reconcile(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	work := o.local.FederationWork(callCtx)
	cancel()
	if !work.IsLeader {
		return
	}
	for _, transfer := range work.OpenTransfers {
		o.resolve(ctx, transfer)
	}
	o.offerJobs(ctx, work)
}

// call sends a signed call to a peer's leader; false if there is no valid answer.
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

// nextCall returns the call that advances a transfer, given the loan of its peer.
func nextCall(transfer OpenTransfer, peerLoan loan, now time.Time) Call {
	call := Call{JobID: transfer.JobID, OfferID: transfer.OfferID}
	switch {
	case transfer.Finished:
		call.Kind = CallRelease
	case transfer.CancelRequested || transfer.State == state.TransferAccepted:
		// A withdrawal leaves an accepted job as it is, unless it also cancels the job, and returns
		// the job's state.
		call.Kind, call.Cancel = CallWithdrawOffer, transfer.CancelRequested
	case now.Before(peerLoan.expiresAt):
		call.Kind, call.Route, call.Loan, call.Job = CallOffer, transfer.Route, peerLoan.id, transfer.Job
	default:
		// The offer is withdrawn, since the loan has expired.
		call.Kind = CallWithdrawOffer
	}
	return call
}

// resolve advances one transfer: the peer's committed state decides its outcome.
func (o *Offloader) resolve(ctx context.Context, transfer OpenTransfer) {
	request := nextCall(transfer, o.loans[transfer.Peer], time.Now())
	response, ok := o.call(ctx, transfer.Peer, request)
	if !ok || response.Status == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resolve := &state.ResolveTransfer{
		Job:     transfer.JobID,
		OfferID: transfer.OfferID,
		Peer:    transfer.Peer,
		Epoch:   response.Epoch,
		Index:   response.Index,
		Answer:  response.Status,
	}
	outcome, ok := o.local.Propose(callCtx, state.CommandResolveTransfer, resolve)
	if ok && outcome.Code == state.CodeConflict {
		_ = o.log.Log("level", "error", "event", "transfer.answer_rejected", "job", transfer.JobID,
			"peer", transfer.Peer, "reason", outcome.Text)
		return
	}
	if ok && (transfer.State != state.TransferAccepted || response.Status != state.AnswerAccepted) {
		_ = o.log.Log("level", "info", "event", "transfer.settled", "job", transfer.JobID, "peer", transfer.Peer,
			"offer", transfer.OfferID, "status", response.Status)
	}
}
