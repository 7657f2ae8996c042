package httpserver

import (
	"time"

	"tealpond/internal/shutdown"
)

const (
	// shutdownCheckInterval is how often a daemon that is shutting down checks its open
	// connections.
	shutdownCheckInterval = 20 * time.Millisecond
	// minIdleBeforeClose is how long a connection of a daemon that is shutting down stays idle
	// before it is closed, to allow for a request in transit.
	minIdleBeforeClose = 60 * time.Millisecond
)

// Shutdown is a graceful shutdown of all servers of a daemon.
type Shutdown struct {
	servers   []*Server
	machine   *shutdown.Machine
	startedAt time.Time
}

// ShutdownResult reports what a shutdown left unfinished.
type ShutdownResult struct {
	Open     int // requests without a complete response
	Busy     int // connections with such a request, or with a response not completely received
	Duration time.Duration
}

// BeginShutdown starts the shutdown of servers with the given timeouts.
func BeginShutdown(servers []*Server, timeouts shutdown.Timeouts) *Shutdown {
	now := time.Now()
	for _, server := range servers {
		server.shuttingDown.Store(true)
	}
	return &Shutdown{servers, shutdown.NewMachine(now, timeouts), now}
}

// RefusesFrom returns the time from which new requests are refused.
func (s *Shutdown) RefusesFrom() time.Time { return s.machine.RefusesFrom() }

// Open returns the number of requests being handled by all servers.
func (s *Shutdown) Open() int {
	open := 0
	for _, server := range s.servers {
		open += server.Open()
	}
	return open
}

// Finish shuts the servers down and returns once they are closed. handedOver is closed when
// the daemon may close its listeners.
func (s *Shutdown) Finish(handedOver <-chan struct{}) ShutdownResult {
	ticker := time.NewTicker(shutdownCheckInterval)
	defer ticker.Stop()
	status, phase := shutdown.Status{}, shutdown.Announcing
	for {
		select {
		case <-handedOver:
			status.HandedOver = true
		default:
		}
		now := time.Now()
		status.Open = s.connections()
		next := s.machine.Advance(now, status)
		if next != phase {
			s.enter(next)
			phase = next
		}
		if phase == shutdown.Ended {
			break
		}
		if phase != shutdown.Announcing {
			s.closeIdle(now)
		}
		<-ticker.C
	}
	result := ShutdownResult{Open: s.Open(), Busy: s.busy(), Duration: time.Since(s.startedAt)}
	for _, server := range s.servers {
		server.Close()
	}
	return result
}

// enter performs the actions at the start of a phase.
func (s *Shutdown) enter(phase shutdown.Phase) {
	for _, server := range s.servers {
		switch phase {
		case shutdown.Closing:
			server.listener.acceptPendingAndClose()
		case shutdown.Aborting:
			_ = server.listener.Close()
			server.cancelBase(ErrShuttingDown)
		}
	}
}

// busy returns the number of connections of all servers that are not idle.
func (s *Shutdown) busy() int {
	busy := 0
	for _, server := range s.servers {
		busy += server.busy()
	}
	return busy
}

// connections returns the number of open connections of all servers, plus one for each
// listener that may still accept more.
func (s *Shutdown) connections() int {
	open := 0
	for _, server := range s.servers {
		open += len(server.connections())
		if !server.listener.closed.Load() {
			open++
		}
	}
	return open
}

// closeIdle closes the connections that have been idle for at least minIdleBeforeClose.
func (s *Shutdown) closeIdle(now time.Time) {
	for _, server := range s.servers {
		server.closeIdle(now, minIdleBeforeClose)
	}
}
