package httpserver

import (
	"time"

	"tealpond/internal/shutdown"
)

const (
	// shutdownCheckInterval is how often a daemon that is shutting down checks its open
	// connections.
	shutdownCheckInterval = 20 * time.Millisecond
	// minIdleBeforeClose is how long a connection of a draining daemon stays idle before it is
	// closed, to allow for a request in transit.
	minIdleBeforeClose = 60 * time.Millisecond
)

// Leaving is a graceful shutdown of all servers of a daemon.
type Leaving struct {
	servers   []*Server
	machine   *shutdown.Machine
	startedAt time.Time
}

// Remains reports what a shutdown left unfinished.
type Remains struct {
	Open int // requests without a complete response
	Busy int // connections with such a request, or with a response not completely received
	Took time.Duration
}

// BeginShutdown starts the shutdown of servers with the given times.
func BeginLeaving(servers []*Server, times shutdown.Times) *Leaving {
	now := time.Now()
	for _, server := range servers {
		server.shuttingDown.Store(true)
	}
	return &Leaving{servers, shutdown.NewMachine(now, times), now}
}

// RefusesFrom returns the time from which new requests are refused.
func (l *Leaving) RefusesFrom() time.Time { return l.machine.RefusesFrom() }

// Open returns the number of requests being handled by all servers.
func (l *Leaving) Open() int {
	open := 0
	for _, server := range l.servers {
		open += server.Open()
	}
	return open
}

// Finish shuts the servers down and returns once they are closed. handedOver is closed when
// the daemon may close its listeners.
func (l *Leaving) Finish(handedOver <-chan struct{}) Remains {
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
		status.Open = l.connections()
		next := l.machine.Advance(now, status)
		if next != phase {
			l.enter(next)
			phase = next
		}
		if phase == shutdown.Ended {
			break
		}
		if phase != shutdown.Announcing {
			l.closeIdle(now)
		}
		<-ticker.C
	}
	remains := Remains{Open: l.Open(), Busy: l.busy(), Took: time.Since(l.startedAt)}
	for _, server := range l.servers {
		server.Close()
	}
	return remains
}

// enter performs the actions at the start of a phase.
func (l *Leaving) enter(phase shutdown.Phase) {
	for _, server := range l.servers {
		switch phase {
		case shutdown.Closing:
			server.listener.acceptPendingAndClose()
		case shutdown.Cutting:
			_ = server.listener.Close()
			server.cancelBase(ErrEnding)
		}
	}
}

// busy returns the number of connections of all servers that are not idle.
func (l *Leaving) busy() int {
	busy := 0
	for _, server := range l.servers {
		busy += server.busy()
	}
	return busy
}

// connections returns the number of open connections of all servers, plus one for each
// listener that may still accept more.
func (l *Leaving) connections() int {
	open := 0
	for _, server := range l.servers {
		open += len(server.connections())
		if !server.listener.closed.Load() {
			open++
		}
	}
	return open
}

// closeIdle closes the idle connections.
func (l *Leaving) closeIdle(now time.Time) {
	for _, server := range l.servers {
		server.closeIdle(now, minIdleBeforeClose)
	}
}
