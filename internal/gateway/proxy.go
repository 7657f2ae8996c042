package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/registry"
	"tealpond/internal/transport"
)

const (
	// runnerIdleTimeout is how long an idle connection to a runner is kept. Runners close
	// theirs after ten seconds or more.
	runnerIdleTimeout = 7 * time.Second
	// runnerDialTimeout is the timeout for connecting to a runner.
	runnerDialTimeout = time.Second
)

// Options configures a Proxy.
type Options struct {
	Zone    string // of this daemon
	Retries RetryLimit
	// KeyTrustPeriod is how long API keys are trusted after the leader last confirmed that the
	// configuration is current; 0 means forever.
	KeyTrustPeriod time.Duration
	// ProcessID identifies this process among those that count tenant requests, and RateWindow
	// is the time over which tenant rates are enforced.
	ProcessID  string
	RateWindow time.Duration
	// MaxRunnerListAge is the maximum age of the runner list for choosing any of its runners (0:
	// unlimited). With an older list only runners that responded to this daemon recently are
	// chosen. The limit does not apply for the duration LeaderOutageGrace after a failed query for
	// changes.
	MaxRunnerListAge, LeaderOutageGrace time.Duration
	// MaxEarlyRequests limits the pipelined requests that are sent ahead of their turn at a time, and
	// MaxIdleConnections the idle connections to runners; 0: unlimited.
	MaxEarlyRequests, MaxIdleConnections int
	// Refresh fetches the current configuration and passes it to SetConfig if it is newer. An
	// error means that the current configuration is unknown.
	Refresh func(context.Context) error
}

// Proxy forwards client requests to runners. It is an http.Handler and safe for concurrent
// use.
type Proxy struct {
	options   Options
	transport *http.Transport
	routing   atomic.Pointer[routing] // nil: no configuration yet
	// confirmedAt is when the leader last confirmed the configuration; nil means never.
	confirmedAt atomic.Pointer[time.Time]

	mu       sync.Mutex // guards the fields below
	balancer *balancer
	budget   *retryBudget
	listed   bool // a runner list has been received

	rates *TenantRates

	// refusesFrom is the time from which a daemon that is shutting down refuses new requests;
	// nil if it is not shutting down.
	refusesFrom atomic.Pointer[time.Time]
	// abandoned counts requests that were sent ahead of their turn and then canceled.
	abandoned atomic.Int64
	// early counts requests that were sent ahead of their turn and neither served nor abandoned.
	early atomic.Int64

	ready     chan struct{} // closed once requests can be served
	readyOnce sync.Once     // closes ready
}

// routing is a configuration with its lookup tables.
type routing struct {
	config *clusterconfig.Config
	routes *clusterconfig.RouteTable
	keys   *clusterconfig.KeyTable
	splits map[string]*splitSequence // by route
	// limited holds the tenants with a rate limit, by name.
	limited map[string]*clusterconfig.Tenant
}

// New returns a proxy. It serves requests once it has a configuration and a runner list.
func New(options Options) *Proxy {
	dialer := &net.Dialer{Timeout: runnerDialTimeout, KeepAlive: runnerIdleTimeout}
	return &Proxy{
		options: options,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				conn, err := transport.DialWith(ctx, dialer, addr)
				if err != nil {
					return nil, err
				}
				return newRunnerConn(conn), nil
			},
			IdleConnTimeout:     runnerIdleTimeout,
			MaxIdleConns:        options.MaxIdleConnections,
			MaxIdleConnsPerHost: maxIdlePerRunner,
			DisableCompression:  true,
			ReadBufferSize:      connectionBufferBytes,
			WriteBufferSize:     connectionBufferBytes,
		},
		balancer: newBalancer(options.Zone, listAgeLimit{options.MaxRunnerListAge, options.LeaderOutageGrace}),
		budget:   newRetryBudget(options.Retries),
		rates:    newTenantRates(options.ProcessID, options.RateWindow, time.Now()),
		ready:    make(chan struct{}),
	}
}

const (
	// maxIdlePerRunner is the maximum number of idle connections kept to one runner, which
	// handles few requests at once.
	maxIdlePerRunner = 4
	// connectionBufferBytes is the size of each buffer of a connection to a runner, in bytes.
	// It is small to save memory, since there are many connections.
	connectionBufferBytes = 2 << 10
)

// tenantsWithRate returns the tenants of a configuration that have a rate limit.
func tenantsWithRate(config *clusterconfig.Config) map[string]*clusterconfig.Tenant {
	limited := map[string]*clusterconfig.Tenant{}
	for _, tenant := range config.Tenants() {
		if tenant.RatePerS > 0 {
			limited[tenant.Name] = &tenant
		}
	}
	return limited
}

// BeginShutdown records that the daemon is shutting down. Connections close after a response
// with no forwarded request behind it, and new requests are refused from refusesFrom on.
func (p *Proxy) BeginShutdown(refusesFrom time.Time) { p.refusesFrom.Store(&refusesFrom) }

// shuttingDown reports whether the daemon is shutting down.
func (p *Proxy) shuttingDown() bool { return p.refusesFrom.Load() != nil }

// refusesRequests reports whether new requests are refused.
func (p *Proxy) refusesRequests() bool {
	from := p.refusesFrom.Load()
	return from != nil && time.Now().After(*from)
}

// AbandonedRequests returns how many client requests were sent to runners ahead of their turn
// and then canceled because the connection closed first.
func (p *Proxy) AbandonedRequests() int64 { return p.abandoned.Load() }

// Rates returns the tenant rate limiter, which must exchange counts with the leader.
func (p *Proxy) Rates() *TenantRates { return p.rates }

// SetConfig activates a configuration unless the active one is as new. It reports whether it
// did.
func (p *Proxy) SetConfig(config *clusterconfig.Config) bool {
	next := &routing{config: config, routes: clusterconfig.NewRouteTable(config), keys: clusterconfig.NewKeyTable(config), splits: splitSequences(config), limited: tenantsWithRate(config)}
	for {
		current := p.routing.Load()
		if current != nil && current.config.Version >= config.Version {
			return false
		}
		if p.routing.CompareAndSwap(current, next) {
			p.signalReady()
			return true
		}
	}
}

// ConfirmConfig records that the active configuration was current at the given time.
func (p *Proxy) ConfirmConfig(at time.Time) {
	if confirmed := p.confirmedAt.Load(); confirmed == nil || at.After(*confirmed) {
		p.confirmedAt.Store(&at)
	}
}

// trustsKeys reports whether API keys of the configuration may still be accepted. Without
// contact with the leader a key may have been revoked in the meantime.
func (p *Proxy) trustsKeys() bool {
	if p.options.KeyTrustPeriod <= 0 {
		return true
	}
	confirmedAt := p.confirmedAt.Load()
	return confirmedAt != nil && time.Since(*confirmedAt) < p.options.KeyTrustPeriod
}

// ConfigText returns the text and version of the active configuration; version 0 means there
// is none.
func (p *Proxy) ConfigText() ([]byte, int64) {
	if current := p.routing.Load(); current != nil {
		return current.config.Raw, current.config.Version
	}
	return nil, 0
}

// ConfigVersion returns the version of the active configuration; 0 means there is none.
func (p *Proxy) ConfigVersion() int64 {
	if current := p.routing.Load(); current != nil {
		return current.config.Version
	}
	return 0
}

// SetRunners replaces the runner list and this daemon's position among the daemons that use
// it.
func (p *Proxy) SetRunners(list []registry.Runner, position Position) {
	p.mu.Lock()
	p.balancer.setRunners(list, position, time.Now())
	p.budget.setDaemons(position.Total)
	p.listed = true
	p.mu.Unlock()
	p.signalReady()
}

// ConfirmRunners records that the runner list contains all changes before asOf.
func (p *Proxy) ConfirmRunners(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.listAge.confirm(asOf)
}

// RecordLeaderUnreachable records that a query for changes to the list failed.
func (p *Proxy) RecordLeaderUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.listAge.lastFailureAt = time.Now()
}

// ListedRunners returns the current runner list and the time up to which it contains all
// changes; the time is zero if unknown.
func (p *Proxy) ListedRunners() (list []registry.Runner, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runner := range p.balancer.runners {
		list = append(list, runner.Runner)
	}
	return list, p.balancer.listAge.asOf
}

// minLocalRunners is the number of runners of a service in a zone below which runners of other
// zones may be needed.
const minLocalRunners = 3

// LacksLocalRunners reports whether a service of the configuration has too few runners in this
// daemon's zone, or more draining than active ones there, so that runners of other zones may
// be needed soon.
func (p *Proxy) LacksLocalRunners() bool {
	current := p.routing.Load()
	if current == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listed {
		return false
	}
	staying, leaving := map[string]int{}, map[string]int{}
	for _, runner := range p.balancer.runners {
		switch {
		case runner.Zone != p.options.Zone:
		case runner.Draining:
			leaving[runner.Service]++
		default:
			staying[runner.Service]++
		}
	}
	for _, service := range current.config.Services {
		if stay := staying[service.Name]; stay < minLocalRunners || stay < leaving[service.Name] {
			return true
		}
	}
	return false
}

// recordServing records that a runner was not yet shutting down at the given time.
func (p *Proxy) recordServing(runner *runnerState, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner.recordServing(at)
}

// TakeObservations returns the observations of runners since the last call.
func (p *Proxy) TakeObservations() []registry.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.takeObservations()
}

// Ready reports whether requests can be served: a configuration and a runner list are known.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed && p.routing.Load() != nil
}

// signalReady releases the requests waiting for the proxy if it is ready.
func (p *Proxy) signalReady() {
	if p.Ready() {
		p.readyOnce.Do(func() { close(p.ready) })
	}
}

// awaitReady waits up to timeout until requests can be served, and reports whether they can.
// After a restart of all daemons this takes a moment while clients keep sending requests.
// Waiting here saves them one of their few retries.
func (p *Proxy) awaitReady(ctx context.Context, timeout time.Duration) bool {
	select {
	case <-p.ready:
		return true // the usual case after startup
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// pick chooses a runner and counts the attempt; it returns nil if none is left. It also
// returns the list entry of the runner at this time, since a newer list may replace it at any
// moment.
func (p *Proxy) pick(service string, tried []*runnerState) (*runnerState, registry.Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner := p.balancer.pick(service, tried, time.Now())
	if runner == nil {
		return nil, registry.Runner{}
	}
	p.balancer.startAttempt(runner)
	return runner, runner.Runner
}

// endAttempt records the end of an attempt.
func (p *Proxy) endAttempt(runner *runnerState, result attemptResult, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.endAttempt(runner, result, elapsed, time.Now())
}

// suspectDraining records that a runner closed its connection after a response.
func (p *Proxy) suspectDraining(runner *runnerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.suspectDraining(runner, time.Now())
}

// countRequest counts a client's request in the retry budget.
func (p *Proxy) countRequest(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.recordRequest(service, time.Now())
}

// takeRetry takes a retry from the budget and reports whether one was available.
func (p *Proxy) takeRetry(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.take(service, time.Now())
}
