package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/monitoring"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
)

const (
	// gcPercent is the heap growth between two garbage collections, in percent. It is below Go's
	// default because heaps are small and memory is costly.
	gcPercent = 25
	// memoryLimitFraction is the fraction of the setting memoryMb that becomes the memory limit of
	// the Go runtime.
	memoryLimitFraction = 0.7
	// settingsPollInterval is the interval at which the settings file is checked for changes.
	settingsPollInterval = 2 * time.Second
	// traceRingLength is the number of trace events that each daemon keeps: about a quarter of a
	// megabyte, which covers some seconds under high load.
	traceRingLength = 2048
)

const (
	bytesPerMb     = 1 << 20
	processIDBytes = 6
)

// daemonFlags are the command-line flags of a role's command.
type daemonFlags struct {
	settingsPath   string
	logLevel       string
	federationFile string // empty: federation is disabled
	metrics        string // PORT/PATH; empty: metrics are not served
}

// runDaemon runs a role until SIGTERM or SIGINT and returns the exit code. It returns
// before it opens any resource if the settings or flags are invalid.
func (p *program) runDaemon(role daemon.RoleSpec, flags daemonFlags) int {
	var endpoint monitoring.Endpoint
	if flags.metrics != "" {
		var err error
		if endpoint, err = monitoring.ParseEndpoint(flags.metrics); err != nil {
			p.reportf("--metrics %q: %v", flags.metrics, err)
			return exitUsage
		}
	}
	file, err := settings.Load(flags.settingsPath)
	if err != nil {
		p.reportf("%v", err)
		return exitFault
	}
	debug.SetMemoryLimit(int64(float64(file.Limits.MemoryMB) * memoryLimitFraction * bytesPerMb))
	debug.SetGCPercent(gcPercent)
	filtered := levelFilter{log.NewLogfmtLogger(log.NewSyncWriter(p.stderr)), logLevels[flags.logLevel]}
	logger := log.With(filtered, "node", file.NodeName, "role", role.Name)
	environment := daemon.Environment{
		Settings:       file,
		Log:            logger,
		ProcessID:      newProcessID(),
		Reload:         make(chan settings.File, 1),
		Trace:          tracing.NewRing(traceRingLength),
		FederationFile: flags.federationFile,
		Debug:          flags.logLevel == "debug",
	}
	ctx, reload := p.signals.watch(context.Background(), logger)
	if ctx.Err() != nil {
		_ = logger.Log("level", "info", "event", "daemon.stopped")
		return exitOK
	}
	process, err := role.New(environment)
	if err != nil {
		p.reportf("%v", err)
		return exitFault
	}
	go watchSettings(ctx, flags.settingsPath, reload, environment.Reload, logger)
	_ = logger.Log("level", "info", "event", "daemon.started", "version", version, "process", environment.ProcessID)
	if endpoint.Port != "" {
		serveMetrics(ctx, file.IPAddress, endpoint, process, logger)
	}
	if err := process.Run(ctx); err != nil {
		_ = logger.Log("level", "error", "event", "daemon.failed", "error", err)
		return exitFault
	}
	_ = logger.Log("level", "info", "event", "daemon.stopped")
	return exitOK
}

// serveMetrics serves the metrics of a role. A failure is only logged and the daemon
// continues without metrics, since another process may use the port.
func serveMetrics(ctx context.Context, ip string, endpoint monitoring.Endpoint, process daemon.Role, logger log.Logger) {
	source, ok := process.(monitoring.Source)
	if !ok {
		return
	}
	if err := monitoring.Serve(ctx, ip, endpoint, source); err != nil {
		_ = logger.Log("level", "warn", "event", "metrics.serve_failed", "error", err)
	}
}

// newProcessID returns a random ID for this process; see daemon.Environment.ProcessID.
func newProcessID() string {
	var id [processIDBytes]byte
	_, _ = rand.Read(id[:]) // crypto/rand documents that Read never fails
	return hex.EncodeToString(id[:])
}

// watchSettings loads the settings file again after each SIGHUP, which hangups signals, and
// when its modification time has changed, and sends the settings to reload, until ctx ends. An
// invalid file is logged and ignored.
func watchSettings(ctx context.Context, path string, hangups <-chan struct{}, reload chan<- settings.File, logger log.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified := modTime(path); modified == last {
				continue
			}
		}
		last = modTime(path)
		changed, err := settings.Load(path)
		if err != nil {
			_ = logger.Log("level", "warn", "event", "settings.rejected", "error", err)
			continue
		}
		_ = logger.Log("level", "info", "event", "settings.reloaded")
		select {
		case reload <- changed:
		default:
		}
	}
}

// modTime returns the modification time of a file, in ns since 1970, or 0 if it is unknown.
func modTime(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}
