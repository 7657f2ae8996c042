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
	// runnerIdleTimeout is how long a connection to a runner is kept idle; runners close theirs after
	// ten seconds or more.
	runnerIdleTimeout = 7 * time.Second
	// runnerDialTimeout bounds the opening of a connection to a runner.
	runnerDialTimeout = time.Second
)

// Options are what a Proxy is built from.
type Options struct {
	Zone    string // of this daemon
	Retries RetryLimit
	// KeyTrust is for how long keys are trusted after the leader has confirmed that the
	// configuration here is the newest; 0: for ever.
	KeyTrust time.Duration
	// ProcessID names this process among those that count requests of tenants, and
	// RateWindow is the time over which their rates are held.
	ProcessID  string
	RateWindow time.Duration
	// MaxListAge is how old the list of runners may be when a runner is chosen by it
	// alone (0: any age): beyond that one is chosen that this daemon has heard lately, or
	// none. It doesn't hold for InTouch after a question for changes that had no answer.
	MaxListAge, InTouch time.Duration
	// Refresh fetches the newest configuration and hands it to SetConfig if it is
	// newer. An error means that the newest one isn't known.
	Refresh func(context.Context) error
}

// Proxy forwards requests of clients to runners. It is an http.Handler, and safe for
// concurrent use.
type Proxy struct {
	options   Options
	transport *http.Transport
	routing   atomic.Pointer[routing] // nil: no configuration is known
	// confirmedAt is when the leader last confirmed the configuration; nil: never.
	confirmedAt atomic.Pointer[time.Time]

	mu       sync.Mutex // guards what follows
	balancer *balancer
	budget   *retryBudget
	listed   bool // a list of runners is known

	rates *TenantRates

	// refusesFrom is from when on a daemon that leaves begins no request; nil: it stays.
	refusesFrom atomic.Pointer[time.Time]
	// abandoned counts requests that were sent ahead of their turn and given up.
	abandoned atomic.Int64

	ready     chan struct{} // closed once requests can be served
	readyOnce sync.Once     // closes ready
}

// routing is a configuration as it is used here.
type routing struct {
	config *clusterconfig.Config
	routes *clusterconfig.RouteTable
	keys   *clusterconfig.KeyTable
	splits map[string]*splitSequence // by route
	// limited are the tenants with a rate, by name.
	limited map[string]*clusterconfig.Tenant
}

// New builds a proxy; it serves once it has a configuration and a list of runners.
func New(options Options) *Proxy {
	dialer := &net.Dialer{Timeout: runnerDialTimeout, KeepAlive: runnerIdleTimeout}
	return &Proxy{
		options: options,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return transport.DialWith(ctx, dialer, addr)
			},
			IdleConnTimeout:     runnerIdleTimeout,
			MaxIdleConnsPerHost: maxIdlePerRunner,
			DisableCompression:  true,
			ReadBufferSize:      connectionBufferBytes,
			WriteBufferSize:     connectionBufferBytes,
		},
		balancer: newBalancer(options.Zone, listAgeLimit{options.MaxListAge, options.InTouch}),
		budget:   newRetryBudget(options.Retries),
		rates:    newTenantRates(options.ProcessID, options.RateWindow, time.Now()),
		ready:    make(chan struct{}),
	}
}

const (
	// maxIdlePerRunner is how many idle connections are kept to one runner: what it
	// works on at once is little.
	maxIdlePerRunner = 4
	// connectionBufferBytes is the size of each buffer of a connection to a runner,
	// in bytes. There are many connections, and memory has a price.
	connectionBufferBytes = 2 << 10
)

// tenantsWithRate lists the tenants of a configuration whose requests are limited.
func tenantsWithRate(config *clusterconfig.Config) map[string]*clusterconfig.Tenant {
	limited := map[string]*clusterconfig.Tenant{}
	for _, tenant := range config.Tenants() {
		if tenant.RatePerS > 0 {
			limited[tenant.Name] = &tenant
		}
	}
	return limited
}

// BeginLeaving records that the daemon leaves: connections end with the answer behind
// which nothing was passed on, and from a time on no request is begun.
func (p *Proxy) BeginLeaving(refusesFrom time.Time) { p.refusesFrom.Store(&refusesFrom) }

// leaves reports whether the daemon leaves.
func (p *Proxy) leaves() bool { return p.refusesFrom.Load() != nil }

// refuses reports whether it begins no request any more.
func (p *Proxy) refuses() bool {
	from := p.refusesFrom.Load()
	return from != nil && time.Now().After(*from)
}

// AbandonedRequests is how many requests of clients were sent to runners ahead of their
// turn and then given up, since the connection ended first.
func (p *Proxy) AbandonedRequests() int64 { return p.abandoned.Load() }

// Rates is what reports whether tenants are within their rates; it wants to exchange counts
// with the leader.
func (p *Proxy) Rates() *TenantRates { return p.rates }

// SetConfig puts a configuration in force, unless one as new is. It reports whether it did.
func (p *Proxy) SetConfig(config *clusterconfig.Config) bool {
	next := &routing{config: config, routes: clusterconfig.NewRouteTable(config), keys: clusterconfig.NewKeyTable(config), splits: splitSequences(config), limited: tenantsWithRate(config)}
	for {
		known := p.routing.Load()
		if known != nil && known.config.Version >= config.Version {
			return false
		}
		if p.routing.CompareAndSwap(known, next) {
			p.announceReady()
			return true
		}
	}
}

// ConfirmConfig records that the configuration in force was the newest at a time.
func (p *Proxy) ConfirmConfig(at time.Time) {
	if known := p.confirmedAt.Load(); known == nil || at.After(*known) {
		p.confirmedAt.Store(&at)
	}
}

// trustsKeys reports whether a key that the configuration names may still be served: without
// contact with the leader it may have been taken away meanwhile.
func (p *Proxy) trustsKeys() bool {
	if p.options.KeyTrust <= 0 {
		return true
	}
	confirmedAt := p.confirmedAt.Load()
	return confirmedAt != nil && time.Since(*confirmedAt) < p.options.KeyTrust
}

// ConfigText is the text of the configuration in force and its version; 0 if there is none.
func (p *Proxy) ConfigText() ([]byte, int64) {
	if known := p.routing.Load(); known != nil {
		return known.config.Raw, known.config.Version
	}
	return nil, 0
}

// ConfigVersion is the version of the configuration in force; 0 if there is none.
func (p *Proxy) ConfigVersion() int64 {
	if known := p.routing.Load(); known != nil {
		return known.config.Version
	}
	return 0
}

// SetRunners takes over the list of runners, and this daemon's position among the
// daemons that use them.
func (p *Proxy) SetRunners(list []registry.Runner, position Position) {
	p.mu.Lock()
	p.balancer.setRunners(list, position, time.Now())
	p.budget.setDaemons(position.Total)
	p.listed = true
	p.mu.Unlock()
	p.announceReady()
}

// ConfirmRunners records that the list of runners misses no change before a time.
func (p *Proxy) ConfirmRunners(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.listAge.confirm(asOf)
}

// NoteLeaderUnreached records that a question for changes of the list had no answer.
func (p *Proxy) NoteLeaderUnreached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.listAge.failedAt = time.Now()
}

// ListedRunners is the list of runners as it is known here, and the time before which it
// misses no change; zero if that isn't known.
func (p *Proxy) ListedRunners() (list []registry.Runner, asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runner := range p.balancer.runners {
		list = append(list, runner.Runner)
	}
	return list, p.balancer.listAge.asOf
}

// fewRunners is how many runners of a service in a zone are hardly any.
const fewRunners = 3

// LacksNearRunners reports whether a service of the configuration has hardly a runner in this
// daemon's zone, or more there that leave than stay: those of other zones may be needed soon.
func (p *Proxy) LacksNearRunners() bool {
	known := p.routing.Load()
	if known == nil {
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
	for _, service := range known.config.Services {
		if stay := staying[service.Name]; stay < fewRunners || stay < leaving[service.Name] {
			return true
		}
	}
	return false
}

// noteServing records that a runner served on at a time.
func (p *Proxy) noteServing(runner *runnerState, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner.noteServing(at)
}

// TakeObservations returns what the requests since the last call told of runners.
func (p *Proxy) TakeObservations() []registry.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.takeObservations()
}

// Ready reports whether requests can be served: a configuration and the runners are known.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed && p.routing.Load() != nil
}

// announceReady lets the requests go on that wait for the proxy to be ready, if it is.
func (p *Proxy) announceReady() {
	if p.Ready() {
		p.readyOnce.Do(func() { close(p.ready) })
	}
}

// awaitReady waits until requests can be served, for a time at most; false if they can't
// by then. After a restart of all daemons that takes a moment, in which clients come all
// the same: whoever waits here needs none of its few further tries.
func (p *Proxy) awaitReady(ctx context.Context, most time.Duration) bool {
	select {
	case <-p.ready:
		return true // as ever but for the first moments
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-p.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// pick chooses a runner and counts the attempt; nil if none is left. It also gives what
// the list says of the runner now: a newer list may be taken over at any time.
func (p *Proxy) pick(service string, tried []*runnerState) (*runnerState, registry.Runner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner := p.balancer.pick(service, tried, time.Now())
	if runner == nil {
		return nil, registry.Runner{}
	}
	p.balancer.begin(runner)
	return runner, runner.Runner
}

// end records how an attempt ended.
func (p *Proxy) end(runner *runnerState, how result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.end(runner, how, took, time.Now())
}

// suspectLeaving records that a runner closed its connection after an answer.
func (p *Proxy) suspectLeaving(runner *runnerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.suspectLeaving(runner, time.Now())
}

// countRequest counts a client's request in the budget of retries.
func (p *Proxy) countRequest(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.request(service, time.Now())
}

// takeRetry takes a retry from the budget.
func (p *Proxy) takeRetry(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.take(service, time.Now())
}
