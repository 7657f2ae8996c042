package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
)

// signalQueueLength is how many signals may wait until they are handled.
const signalQueueLength = 16

// processSignals takes the signals of the process. Only one value has them, from the first
// line of the program until the process has ended: a signal that nobody takes ends the
// process at once, also one that still answers requests.
type processSignals struct {
	incoming chan os.Signal
}

// takeSignals takes the signals from now on.
func takeSignals() *processSignals {
	s := &processSignals{make(chan os.Signal, signalQueueLength)}
	signal.Notify(s.incoming, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return s
}

// release gives the signals their usual effect again, as tools want it. One that has come
// meanwhile has it now.
func (s *processSignals) release() {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case early := <-s.incoming:
		if number, ok := early.(syscall.Signal); ok {
			_ = syscall.Kill(os.Getpid(), number) // one's own process can be sent any signal
		}
	default:
	}
}

// watch handles the signals as long as the process lives: SIGTERM and SIGINT end the context
// that it returns, SIGHUP is told by the channel.
func (s *processSignals) watch(ctx context.Context, logger log.Logger) (context.Context, <-chan struct{}) {
	ctx, end := context.WithCancel(ctx)
	reload := make(chan struct{}, 1)
	go func() {
		for received := range s.incoming {
			_ = logger.Log("level", "info", "event", "signal.received", "signal", received)
			if received != syscall.SIGHUP {
				end()
				continue
			}
			select {
			case reload <- struct{}{}:
			default: // the settings are about to be read anyway
			}
		}
	}()
	return ctx, reload
}
