package server

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// newCounts creates the set of counts through which the daemons exchange theirs. It is not
// part of the replicated state: the daemons send all of it to a new leader again. Its name
// differs from that of the daemon in the same process, which exchanges its counts like any
// other daemon.
func newCounts(processID string, window time.Duration, now time.Time) *counter.Set {
	return counter.NewSet(processID+leaderSuffix, window, counter.SlotWidth, now)
}

// leaderSuffix distinguishes the name of a leader's set of counts from that of its daemon.
const leaderSuffix = "-leader"

// handleExchangeCounts merges a daemon's counts and returns those that it lacks.
func (r *Replica) handleExchangeCounts(request *counter.Request, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.counts.Expire(now)
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.counts.Answer(*request, now))})
}

// handleExchangeSums merges a gateway's counts and returns the sums of all others' counts.
func (r *Replica) handleExchangeSums(request *counter.Request, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.counts.Expire(now)
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.counts.AnswerSums(*request, now))})
}

// handleGetTenants returns the tenants of the newest configuration, unless the caller has
// them already.
func (r *Replica) handleGetTenants(query *rpc.TenantQuery, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return
	}
	shares := transport.Encode(tenantShares(&r.state.Configuration))
	sum := sha256.Sum256(shares)
	response := rpc.Response{Code: rpc.CodeOK, Text: hex.EncodeToString(sum[:]), Value: r.state.Configuration.Version}
	if response.Text != query.KnownDigest {
		response.Body = shares
	}
	reply(response)
}

// tenantShares lists the shares and key digests of the tenants, as they are sent to daemons.
func tenantShares(config *clusterconfig.Config) []rpc.TenantShare {
	shares := []rpc.TenantShare{}
	for _, tenant := range config.Tenants() {
		share := rpc.TenantShare{Name: tenant.Name, MilliShare: state.MilliShare(tenant)}
		for _, key := range tenant.APIKeys {
			digest := clusterconfig.DigestOf(key)
			share.KeyDigests = append(share.KeyDigests, digest[:])
		}
		shares = append(shares, share)
	}
	return shares
}
