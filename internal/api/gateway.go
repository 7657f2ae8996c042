package api

import (
	"context"
	"fmt"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/gateway"
	"tealpond/internal/platform"
	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/transport"
)

const (
	// maxPlatformReadInterval is the longest time between two readings of the list, and the time where
	// the settings don't say how long a runner that leaves serves on.
	maxPlatformReadInterval = 1200 * time.Millisecond
	// minPlatformReadInterval is the shortest time between two readings of the list, of which each
	// page has a price.
	minPlatformReadInterval = 350 * time.Millisecond
	// platformNewsTime is what is left of a draining runner's time, after the list's lag and one
	// interval, for a reading, its update and a request on its way.
	platformNewsTime = time.Second
	// requestTransitReserve is what is left of a draining runner's time for a request on its way to
	// it.
	requestTransitReserve = 300 * time.Millisecond
	// wideScopeTime is for how long a daemon goes on asking for the runners of all zones after a
	// service had none in its own.
	wideScopeTime = 10 * time.Second
	// minListAge is the least age at which a list of runners counts as old, whatever the settings say.
	minListAge = 500 * time.Millisecond
	// busyReadFraction is the part of the interval after which the list is read again while it
	// changes.
	busyReadFraction = 0.5
	// busyReadTime is how long after a change the list counts as changing.
	busyReadTime = 5 * time.Second
	// platformBackoff is the pause after a reading of the list that failed.
	platformBackoff = 700 * time.Millisecond
	// runnerWatchTimeout bounds one watch of the list of runners.
	runnerWatchTimeout = 3 * time.Second
	// runnerWatchRetry is the pause after a watch that brought no answer.
	runnerWatchRetry = 100 * time.Millisecond
	// keyTrustShare is the part of the time within which all daemons must refuse a revoked key, for
	// which a daemon serves a key without hearing the leader.
	keyTrustShare = 0.8
)

// newGateway builds the gateway role.
func newGateway(env daemon.Environment) (daemon.Role, error) {
	s, err := newServer(env, gatewayRole)
	if err != nil {
		return nil, err
	}
	s.gateway = gateway.New(gateway.Options{
		Zone:       env.Settings.Zone,
		Retries:    retryLimit(env.Settings.Bounds),
		KeyTrust:   keyTrust(env.Settings.Bounds),
		ProcessID:  env.ProcessID,
		RateWindow: env.Settings.ShareWindow(counter.DefaultWindow),
		MaxListAge: maxListAge(&env.Settings),
		InTouch:    time.Duration(env.Settings.Bounds.InTouchMs) * time.Millisecond,
		Refresh:    s.refreshConfiguration,
	})
	return s, nil
}

// retryLimit returns the operators' bound on retries.
func retryLimit(bounds settings.Bounds) gateway.RetryLimit {
	return gateway.RetryLimit{
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
		Window: time.Duration(bounds.RetryWindowS * float64(time.Second)),
	}
}

// maxListAge is how old the list of runners may be when a runner is chosen by it alone: one
// that leaves must not be sent a request later than drainMs after it was listed so, and the
// platform's list lags. 0: the settings don't bound it.
func maxListAge(file *settings.File) time.Duration {
	if file.Bounds.DrainMs <= 0 {
		return 0
	}
	age := time.Duration((file.Bounds.DrainMs-file.Platform.MaxLagMs)*float64(time.Millisecond)) - requestTransitReserve
	return max(age, minListAge)
}

// keyTrust is for how long a key is served without contact with the leader.
func keyTrust(bounds settings.Bounds) time.Duration {
	if !bounds.RevokedKeysFail {
		return 0
	}
	// At least a moment: 0 would be for ever.
	trust := keyTrustShare * float64(bounds.RevokeMs) * float64(time.Millisecond)
	return max(time.Duration(trust), time.Millisecond)
}

// startGateway starts what keeps the configuration and the list of runners up to date;
// it runs until ctx ends.
func (s *Server) startGateway(ctx context.Context) {
	go s.followRunners(ctx)
	go s.exchangeRates(ctx, s.gateway.Rates())
	if s.replica != nil && s.settings.Platform.Address != "" {
		go s.readRunners(ctx, platform.NewClient(s.settings.Platform.Address, s.settings.Platform.RatePerS))
	}
}

// exchangeRates exchanges counts of tenants' requests with the leader, from the first
// request on that a rate holds for, until ctx ends.
func (s *Server) exchangeRates(ctx context.Context, rates *gateway.TenantRates) {
	select {
	case <-rates.Urgent():
		s.exchangeCounts(ctx, rpc.KindExchangeSums, rates)
	case <-ctx.Done():
	}
}

// fetchConfiguration puts the leader's configuration in force here.
func (s *Server) fetchConfiguration(ctx context.Context) error {
	response := s.Call(ctx, rpc.KindGetConfig, struct{}{})
	if response.Code != rpc.CodeOK {
		return fmt.Errorf("the newest configuration: the leader's response has code %d", response.Code)
	}
	return s.applyConfiguration(response.Body)
}

// applyConfigUpdate puts the configuration in force that the leader has told, whole or as a
// change of the one that is known here.
func (s *Server) applyConfigUpdate(update rpc.RunnerUpdate) error {
	if len(update.Config) == 0 {
		return nil
	}
	if update.ConfigBase == 0 {
		return s.applyConfiguration(update.Config)
	}
	known, version := s.gateway.ConfigText()
	if version != update.ConfigBase {
		return nil // another one came meanwhile
	}
	whole, err := clusterconfig.ApplyChange(known, update.Config)
	if err != nil {
		return err
	}
	return s.applyConfiguration(whole)
}

// applyConfiguration puts a configuration in force here, unless a newer one is.
func (s *Server) applyConfiguration(text []byte) error {
	config, err := clusterconfig.Parse(text)
	if err != nil {
		return fmt.Errorf("the newest configuration: %w", err)
	}
	if s.gateway.SetConfig(config) {
		_ = s.log.Log("level", "info", "event", "configuration.applied", "version", config.Version)
	}
	return nil
}

// refreshConfiguration makes sure that the newest configuration is in force here: it asks
// the leader for its version, and fetches it if it is another.
func (s *Server) refreshConfiguration(ctx context.Context) error {
	askedAt := time.Now()
	response := s.Call(ctx, rpc.KindGetLimits, struct{}{})
	if response.Code != rpc.CodeOK {
		return fmt.Errorf("the newest configuration's version: the leader's response has code %d", response.Code)
	}
	if s.gateway.ConfigVersion() < response.Value {
		if err := s.fetchConfiguration(ctx); err != nil {
			return err
		}
	}
	s.gateway.ConfirmConfig(askedAt)
	return nil
}

// runnerFollower is what a daemon knows of the runners by the leader's news.
type runnerFollower struct {
	view     *registry.View
	position gateway.Position
	lackedAt time.Time // when a service last had no runner in this daemon's zone
}

// runnerScope is which runners this daemon asks for: those of its zone, which alone get its
// requests, unless a service has none there. One with a replica may lead, and must be able to
// tell the others of all.
func (s *Server) runnerScope(follower *runnerFollower, now time.Time) string {
	if s.gateway.LacksNearRunners() {
		follower.lackedAt = now
	}
	if s.replica != nil || now.Sub(follower.lackedAt) < wideScopeTime {
		return registry.AllZones
	}
	return s.settings.Zone
}

// followRunners asks the leader for changes of the list of runners, until ctx ends.
func (s *Server) followRunners(ctx context.Context) {
	follower := &runnerFollower{view: registry.NewView()}
	for ctx.Err() == nil {
		watch := rpc.RunnerWatch{Node: s.settings.NodeName, Zone: s.settings.Zone, ConfigVersion: s.gateway.ConfigVersion(), Observations: s.gateway.TakeObservations()}
		known := follower.view.Position()
		watch.Epoch, watch.Version, watch.Digest = known.Epoch, known.Version, known.Digest
		watch.Scope = s.runnerScope(follower, time.Now())
		askedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, runnerWatchTimeout)
		response := s.Call(callCtx, rpc.KindWatchRunners, watch)
		cancel()
		if response.Code != rpc.CodeOK {
			s.gateway.NoteLeaderUnreached()
			daemon.Pause(ctx, runnerWatchRetry)
			continue
		}
		var update rpc.RunnerUpdate
		if len(response.Body) == 0 || transport.Decode(response.Body, &update) != nil {
			continue
		}
		if len(update.Config) == 0 && watch.ConfigVersion > 0 {
			s.gateway.ConfirmConfig(askedAt)
		}
		s.applyRunnerUpdate(follower, &update)
		if update.ListAgeMs >= 0 {
			// The answer was given no earlier than the question was held.
			s.gateway.ConfirmRunners(askedAt.Add(time.Duration(update.HeldMs-update.ListAgeMs) * time.Millisecond))
		}
		if err := s.applyConfigUpdate(update); err != nil {
			_ = s.log.Log("level", "error", "event", "configuration.rejected", "error", err)
		}
	}
}

// applyRunnerUpdate takes over what the leader tells of the runners, and of this daemon's
// place among the daemons, which is told only by a leader that knows it.
func (s *Server) applyRunnerUpdate(follower *runnerFollower, update *rpc.RunnerUpdate) {
	next := gateway.Position{Index: update.DaemonIndex, Count: update.DaemonCount, Total: update.DaemonTotal}
	moved := next.Count > 0 && next != follower.position
	if moved {
		follower.position = next
	}
	var delta registry.Delta
	told := len(update.Delta) > 0 && transport.Decode(update.Delta, &delta) == nil
	if told && follower.view.Apply(delta) || moved {
		s.gateway.SetRunners(follower.view.Runners(), follower.position)
	}
}

// readRunners reads the platform's list while this daemon leads, until ctx ends. The
// leader is the only reader: it holds a lease, so there are never two for long.
func (s *Server) readRunners(ctx context.Context, client *platform.Client) {
	calm, busy := readIntervals(&s.settings)
	var last []registry.Runner
	var changedAt time.Time
	led := false
	for ctx.Err() == nil {
		if !s.leads(ctx) {
			led = false
			daemon.Pause(ctx, runnerWatchRetry)
			continue
		}
		if !led {
			// Daemons that have the same list as this one are then told changes alone.
			led = true
			s.publishKnownRunners(ctx)
		}
		begunAt := time.Now()
		list, err := client.List(ctx)
		if err != nil {
			_ = s.log.Log("level", "warn", "event", "runners.read_failed", "error", err)
			daemon.Pause(ctx, platformBackoff)
			continue
		}
		s.publishRunners(ctx, list, begunAt)
		if !registry.SameState(last, list) {
			last, changedAt = list, time.Now()
		}
		interval := calm
		if time.Since(changedAt) < busyReadTime {
			interval = busy
		}
		daemon.Pause(ctx, interval)
	}
}

// publishKnownRunners tells this daemon's own replica, which leads now, of the list that it
// had as a follower.
func (s *Server) publishKnownRunners(ctx context.Context) {
	if list, asOf := s.gateway.ListedRunners(); !asOf.IsZero() {
		s.publishRunners(ctx, list, asOf)
	}
}

// publishRunners tells this daemon's own replica of a list, which misses changes since a
// time.
func (s *Server) publishRunners(ctx context.Context, list []registry.Runner, asOf time.Time) {
	body := rpc.RunnerList{Runners: list, AgeMs: time.Since(asOf).Milliseconds() + 1}
	s.askReplica(ctx, rpc.Request{Kind: rpc.KindPublishRunners, Body: transport.Encode(body)})
}

// readIntervals returns the time between two readings of the platform's list, and that while
// the list changes: a runner that leaves must be known to leave before it ends.
func readIntervals(file *settings.File) (calm, busy time.Duration) {
	calm = maxPlatformReadInterval
	if file.Bounds.DrainMs > 0 {
		spare := time.Duration((file.Bounds.DrainMs-file.Platform.MaxLagMs)*float64(time.Millisecond)) - platformNewsTime
		calm = min(calm, spare)
	}
	calm = max(calm, minPlatformReadInterval)
	busy = max(time.Duration(busyReadFraction*float64(calm)), minPlatformReadInterval)
	return calm, busy
}

// leads reports whether this daemon's replica leads now.
func (s *Server) leads(ctx context.Context) bool {
	response := s.askReplica(ctx, rpc.Request{Kind: rpc.KindLeader})
	var info rpc.LeaderInfo
	return response.Code == rpc.CodeOK && transport.Decode(response.Body, &info) == nil && info.IsLeader
}

// askReplica sends a request to this daemon's own replica.
func (s *Server) askReplica(ctx context.Context, request rpc.Request) rpc.Response {
	select {
	case response := <-callLocal(request, s.replica.HandleLocal):
		return response
	case <-ctx.Done():
		return rpc.Response{Code: rpc.CodeTimeout}
	}
}
