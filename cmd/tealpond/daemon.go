package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
	"tealpond/internal/tuning"
)

const (
	bytesPerMb     = 1 << 20
	processIDBytes = 6
)

// runDaemon runs a role until SIGTERM or SIGINT, and returns the exit code. Settings
// with a fault end it before it has opened anything.
func (p *program) runDaemon(role daemon.RoleSpec, path, level, federationFile string) int {
	file, err := settings.Load(path)
	if err != nil {
		p.reportf("%v", err)
		return exitFault
	}
	debug.SetMemoryLimit(int64(float64(file.Limits.MemoryMb) * tuning.MemoryLimitFraction * bytesPerMb))
	debug.SetGCPercent(tuning.GCPercent)
	filtered := levelFilter{log.NewLogfmtLogger(log.NewSyncWriter(p.stderr)), logLevels[level]}
	logger := log.With(filtered, "node", file.NodeName, "role", role.Name)
	environment := daemon.Environment{
		Settings:       file,
		Log:            logger,
		ProcessID:      newProcessID(),
		Reload:         make(chan settings.File, 1),
		Trace:          tracing.NewRing(tuning.TraceRingLength),
		FederationFile: federationFile,
		Debug:          level == "debug",
	}
	process, err := role.New(environment)
	if err != nil {
		p.reportf("%v", err)
		return exitFault
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go watchSettings(ctx, path, environment.Reload, logger)
	_ = logger.Log("level", "info", "event", "daemon.started", "version", version, "process", environment.ProcessID)
	if err := process.Run(ctx); err != nil {
		_ = logger.Log("level", "error", "event", "daemon.failed", "error", err)
		return exitFault
	}
	_ = logger.Log("level", "info", "event", "daemon.stopped")
	return exitOK
}

// newProcessID draws a random ID for this process; see daemon.Environment.ProcessID.
func newProcessID() string {
	var id [processIDBytes]byte
	_, _ = rand.Read(id[:]) // it never fails, as its package says
	return hex.EncodeToString(id[:])
}

// watchSettings sends a changed settings file to reload, after a SIGHUP or when the
// file's time has changed, until ctx ends. A file with a fault is logged and ignored.
func watchSettings(ctx context.Context, path string, reload chan<- settings.File, logger log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(tuning.SettingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
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

// modTime is when a file was changed, in ns since 1970; 0 if that is unknown.
func modTime(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.ModTime().UnixNano()
}
