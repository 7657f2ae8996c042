package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"tealpond/internal/hangup"
)

// signalQueueLength is the number of signals that can be queued for handling.
const signalQueueLength = 16

// processSignals captures the signals of the process. A single value does so from the first
// line of the program until the process exits, because a signal that is not captured kills
// the process at once, even while it is still answering requests. Until then SIGHUP is ignored
// (package hangup): the settings are read later in any case.
type processSignals struct {
	incoming chan os.Signal
}

// captureSignals starts to capture the signals.
func captureSignals() *processSignals {
	s := &processSignals{make(chan os.Signal, signalQueueLength)}
	signal.Notify(s.incoming, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return s
}

// release restores the default effect of the signals, which tools rely on. A signal that was
// captured in the meantime is sent to the process again.
func (s *processSignals) release() {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	hangup.Restore()
	select {
	case captured := <-s.incoming:
		if number, ok := captured.(syscall.Signal); ok {
			_ = syscall.Kill(os.Getpid(), number) // a process may send itself any signal
		}
	default:
	}
}

// watch handles the signals for the rest of the process's lifetime. SIGTERM and SIGINT cancel
// the returned context; SIGHUP sends on the returned channel.
func (s *processSignals) watch(ctx context.Context, logger log.Logger) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	reload := make(chan struct{}, 1)
	go func() {
		for received := range s.incoming {
			_ = logger.Log("level", "info", "event", "signal.received", "signal", received)
			if received != syscall.SIGHUP {
				cancel()
				continue
			}
			select {
			case reload <- struct{}{}:
			default: // a reload of the settings is already pending
			}
		}
	}()
	return ctx, reload
}
