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
	// maxPlatformReadInterval is the longest interval between two reads of the platform's list. It
	// applies also if the settings don't say how long a draining runner keeps serving.
	maxPlatformReadInterval = 1200 * time.Millisecond
	// minPlatformReadInterval is the shortest interval between two reads of the list, since each
	// page read has a cost.
	minPlatformReadInterval = 350 * time.Millisecond
	// runnerUpdateReserve is the part of a draining runner's remaining time, after the list's lag
	// and one interval, that is reserved for reading the list, distributing the update and
	// delivering requests in transit.
	runnerUpdateReserve = time.Second
	// requestTransitReserve is the part of a draining runner's remaining time that is reserved for
	// a request in transit to it.
	requestTransitReserve = 300 * time.Millisecond
	// allZonesScopeDuration is how long a daemon keeps watching the runners of all zones after a
	// service had none in the daemon's own zone.
	allZonesScopeDuration = 10 * time.Second
	// minListAge is the lower bound of maxRunnerListAge, whatever the settings say.
	minListAge = 500 * time.Millisecond
	// changingReadFraction is the fraction of the interval at which the list is read while it
	// changes.
	changingReadFraction = 0.5
	// changingPeriod is how long after a change the list counts as changing.
	changingPeriod = 5 * time.Second
	// platformBackoff is the pause after a failed read of the list.
	platformBackoff = 700 * time.Millisecond
	// runnerWatchTimeout limits one watch of the list of runners.
	runnerWatchTimeout = 3 * time.Second
	// runnerWatchRetryDelay is the pause after a failed watch.
	runnerWatchRetryDelay = 100 * time.Millisecond
	// keyTrustFraction is the fraction of the time limit for refusing a revoked key everywhere, for
	// which a daemon accepts keys without contact with the leader.
	keyTrustFraction = 0.8
)

// newGateway builds the gateway role.
func newGateway(env daemon.Environment) (daemon.Role, error) {
	s, err := newServer(env, gatewayRole)
	if err != nil {
		return nil, err
	}
	s.gateway = gateway.New(gateway.Options{
		Zone:              env.Settings.Zone,
		Retries:           retryLimit(env.Settings.Bounds),
		KeyTrustPeriod:    keyTrustPeriod(env.Settings.Bounds),
		ProcessID:         env.ProcessID,
		RateWindow:        env.Settings.QuotaWindow(counter.DefaultWindow),
		MaxRunnerListAge:  maxRunnerListAge(&env.Settings),
		LeaderOutageGrace: time.Duration(env.Settings.Bounds.InTouchMs) * time.Millisecond,
		Refresh:           s.refreshConfiguration,

		MaxEarlyRequests:   maxConnections(gatewayRole, earlyRequests, env.Settings.Limits),
		MaxIdleConnections: maxConnections(gatewayRole, idleRunnerConnections, env.Settings.Limits),
	})
	return s, nil
}

// retryLimit returns the configured limit on retries.
func retryLimit(bounds settings.Bounds) gateway.RetryLimit {
	return gateway.RetryLimit{
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
		Window: time.Duration(bounds.RetryWindowS * float64(time.Second)),
	}
}

// maxRunnerListAge is how old the list of runners may be if a runner is chosen by the list alone. A
// request must not be sent to a draining runner later than drainMs after the platform listed it as
// draining, and the platform's list lags. 0 means that the settings set no limit.
func maxRunnerListAge(file *settings.File) time.Duration {
	if file.Bounds.DrainMs <= 0 {
		return 0
	}
	age := time.Duration((file.Bounds.DrainMs-file.Platform.MaxLagMs)*float64(time.Millisecond)) - requestTransitReserve
	return max(age, minListAge)
}

// keyTrustPeriod is how long a key is accepted without contact with the leader; 0 means without
// limit.
func keyTrustPeriod(bounds settings.Bounds) time.Duration {
	if !bounds.RevokedKeysFail {
		return 0
	}
	// The minimum is above 0, since 0 means without limit.
	trust := keyTrustFraction * float64(bounds.RevokeMs) * float64(time.Millisecond)
	return max(time.Duration(trust), time.Millisecond)
}

// startGateway starts the goroutines that keep the configuration and the list of runners up to
// date. They run until ctx ends.
func (s *Server) startGateway(ctx context.Context) {
	go s.watchRunners(ctx)
	go s.exchangeRates(ctx, s.gateway.Rates())
	if s.replica != nil && s.settings.Platform.Address != "" {
		go s.pollPlatform(ctx, platform.NewClient(s.settings.Platform.Address, s.settings.Platform.RatePerS))
	}
}

// exchangeRates exchanges the tenants' request counts with the leader until ctx ends. It starts
// with the first request to which a rate limit applies.
func (s *Server) exchangeRates(ctx context.Context, rates *gateway.TenantRates) {
	select {
	case <-rates.Urgent():
		s.exchangeCounts(ctx, rpc.KindExchangeSums, rates)
	case <-ctx.Done():
	}
}

// fetchConfiguration fetches the newest configuration from the leader and applies it.
func (s *Server) fetchConfiguration(ctx context.Context) error {
	response := s.Call(ctx, rpc.KindGetConfig, struct{}{})
	if response.Code != rpc.CodeOK {
		return fmt.Errorf("the newest configuration: the leader's response has code %d", response.Code)
	}
	return s.applyConfiguration(response.Body)
}

// applyConfigUpdate applies the configuration that the leader sent, either whole or as a change to
// the one in force here.
func (s *Server) applyConfigUpdate(update rpc.RunnerUpdate) error {
	if len(update.Config) == 0 {
		return nil
	}
	if update.ConfigBase == 0 {
		return s.applyConfiguration(update.Config)
	}
	known, version := s.gateway.ConfigText()
	if version != update.ConfigBase {
		return nil // the configuration in force has changed since the request
	}
	whole, err := clusterconfig.ApplyChange(known, update.Config)
	if err != nil {
		return err
	}
	return s.applyConfiguration(whole)
}

// applyConfiguration applies a configuration unless a newer one is in force.
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

// refreshConfiguration ensures that the newest configuration is in force. It asks the leader for
// the version and fetches the configuration if that version is newer.
func (s *Server) refreshConfiguration(ctx context.Context) error {
	requestedAt := time.Now()
	response := s.Call(ctx, rpc.KindGetLimits, struct{}{})
	if response.Code != rpc.CodeOK {
		return fmt.Errorf("the newest configuration's version: the leader's response has code %d", response.Code)
	}
	if s.gateway.ConfigVersion() < response.Value {
		if err := s.fetchConfiguration(ctx); err != nil {
			return err
		}
	}
	s.gateway.ConfirmConfig(requestedAt)
	return nil
}

// runnerWatchState is what a daemon has learned about the runners from the leader.
type runnerWatchState struct {
	view            *registry.View
	position        gateway.Position
	runnerMissingAt time.Time // when a service last had no runner in this daemon's own zone
}

// runnerScope returns the scope of the watch. Requests go only to runners of the daemon's own zone
// unless a service has none there, so that zone is enough. A daemon with a replica may become the
// leader and must then know the runners of all zones.
func (s *Server) runnerScope(watched *runnerWatchState, now time.Time) string {
	if s.gateway.LacksLocalRunners() {
		watched.runnerMissingAt = now
	}
	if s.replica != nil || now.Sub(watched.runnerMissingAt) < allZonesScopeDuration {
		return registry.AllZones
	}
	return s.settings.Zone
}

// watchRunners watches the leader's list of runners until ctx ends.
func (s *Server) watchRunners(ctx context.Context) {
	watched := &runnerWatchState{view: registry.NewView()}
	for ctx.Err() == nil {
		watch := rpc.RunnerWatch{
			Node: s.settings.NodeName, Zone: s.settings.Zone,
			ConfigVersion: s.gateway.ConfigVersion(), Observations: s.gateway.TakeObservations(),
		}
		known := watched.view.Position()
		watch.Epoch, watch.Version, watch.Digest = known.Epoch, known.Version, known.Digest
		watch.Scope = s.runnerScope(watched, time.Now())
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, runnerWatchTimeout)
		response := s.Call(callCtx, rpc.KindWatchRunners, watch)
		cancel()
		if response.Code != rpc.CodeOK {
			s.gateway.RecordLeaderUnreachable()
			daemon.Pause(ctx, runnerWatchRetryDelay)
			continue
		}
		var update rpc.RunnerUpdate
		if len(response.Body) == 0 || transport.Decode(response.Body, &update) != nil {
			continue
		}
		if len(update.Config) == 0 && watch.ConfigVersion > 0 {
			s.gateway.ConfirmConfig(requestedAt)
		}
		s.applyRunnerUpdate(watched, &update)
		if update.ListAgeMs >= 0 {
			// The leader responded no earlier than HeldMs after the request was sent.
			s.gateway.ConfirmRunners(requestedAt.Add(time.Duration(update.HeldMs-update.ListAgeMs) * time.Millisecond))
		}
		if err := s.applyConfigUpdate(update); err != nil {
			_ = s.log.Log("level", "error", "event", "configuration.rejected", "error", err)
		}
	}
}

// applyRunnerUpdate applies the leader's update of the runners and of this daemon's position among
// the daemons. Only a leader that knows the position sends it.
func (s *Server) applyRunnerUpdate(watched *runnerWatchState, update *rpc.RunnerUpdate) {
	next := gateway.Position{Index: update.DaemonIndex, Count: update.DaemonCount, Total: update.DaemonTotal}
	positionChanged := next.Count > 0 && next != watched.position
	if positionChanged {
		watched.position = next
	}
	var delta registry.Delta
	hasDelta := len(update.Delta) > 0 && transport.Decode(update.Delta, &delta) == nil
	if hasDelta && watched.view.Apply(delta) || positionChanged {
		s.gateway.SetRunners(watched.view.Runners(), watched.position)
	}
}

// pollPlatform reads the platform's list while this daemon is the leader, until ctx ends. Only the
// leader reads the list: its lease ensures that two daemons never read it for long.
func (s *Server) pollPlatform(ctx context.Context, client *platform.Client) {
	normal, changing := readIntervals(&s.settings)
	var last []registry.Runner
	var changedAt time.Time
	wasLeader := false
	for ctx.Err() == nil {
		if !s.isLeader(ctx) {
			wasLeader = false
			daemon.Pause(ctx, runnerWatchRetryDelay)
			continue
		}
		if !wasLeader {
			// Publish the cached list first, so that daemons with the same list get only changes.
			wasLeader = true
			s.publishCachedRunners(ctx)
		}
		startedAt := time.Now()
		list, err := client.List(ctx)
		if err != nil {
			_ = s.log.Log("level", "warn", "event", "runners.read_failed", "error", err)
			daemon.Pause(ctx, platformBackoff)
			continue
		}
		s.publishRunners(ctx, list, startedAt)
		if !registry.SameState(last, list) {
			last, changedAt = list, time.Now()
		}
		interval := normal
		if time.Since(changedAt) < changingPeriod {
			interval = changing
		}
		daemon.Pause(ctx, interval)
	}
}

// publishCachedRunners gives this daemon's own replica, which has just become the leader, the list
// that the daemon had as a follower.
func (s *Server) publishCachedRunners(ctx context.Context) {
	if list, asOf := s.gateway.ListedRunners(); !asOf.IsZero() {
		s.publishRunners(ctx, list, asOf)
	}
}

// publishRunners gives this daemon's own replica a list of runners that may lack changes made after
// asOf.
func (s *Server) publishRunners(ctx context.Context, list []registry.Runner, asOf time.Time) {
	body := rpc.RunnerList{Runners: list, AgeMs: time.Since(asOf).Milliseconds() + 1}
	s.callLocalReplica(ctx, rpc.Request{Kind: rpc.KindPublishRunners, Body: transport.Encode(body)})
}

// readIntervals returns the interval between two reads of the platform's list, normally and while
// the list changes. A draining runner must be known to drain before it ends.
func readIntervals(file *settings.File) (normal, changing time.Duration) {
	normal = maxPlatformReadInterval
	if file.Bounds.DrainMs > 0 {
		longest := time.Duration((file.Bounds.DrainMs-file.Platform.MaxLagMs)*float64(time.Millisecond)) -
			runnerUpdateReserve
		normal = min(normal, longest)
	}
	normal = max(normal, minPlatformReadInterval)
	changing = max(time.Duration(changingReadFraction*float64(normal)), minPlatformReadInterval)
	return normal, changing
}

// isLeader reports whether this daemon's replica is the leader now.
func (s *Server) isLeader(ctx context.Context) bool {
	response := s.callLocalReplica(ctx, rpc.Request{Kind: rpc.KindLeader})
	var info rpc.LeaderInfo
	return response.Code == rpc.CodeOK && transport.Decode(response.Body, &info) == nil && info.IsLeader
}

// callLocalReplica sends a request to this daemon's own replica.
func (s *Server) callLocalReplica(ctx context.Context, request rpc.Request) rpc.Response {
	select {
	case response := <-callLocal(request, s.replica.HandleLocal):
		return response
	case <-ctx.Done():
		return rpc.Response{Code: rpc.CodeTimeout}
	}
}
