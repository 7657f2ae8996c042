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

// newCounts makes the set of counts through which the daemons hear of each other's. It
// is not part of the state: a new leader is sent all of it again. Its name differs from
// that of the daemon in the same process, which exchanges its counts like any other.
func newCounts(processID string, window time.Duration, now time.Time) *counter.Set {
	return counter.NewSet(processID+leaderSuffix, window, counter.SlotWidth, now)
}

// leaderSuffix tells a leader's set of counts from that of its daemon.
const leaderSuffix = "-leader"

// handleExchangeCounts merges a daemon's counts and says what it lacks.
func (r *Replica) handleExchangeCounts(request *counter.Request, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.counts.Expire(now)
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.counts.Answer(*request, now))})
}

// handleExchangeSums merges a gateway's counts and tells it the sums of all others'.
func (r *Replica) handleExchangeSums(request *counter.Request, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.counts.Expire(now)
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.counts.AnswerSums(*request, now))})
}

// handleGetTenants gives the tenants of the newest configuration, unless the caller has
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

// tenantShares lists what daemons are sent of the tenants.
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
