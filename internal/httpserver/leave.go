package httpserver

import (
	"time"

	"tealpond/internal/shutdown"
)

const (
	// shutdownCheckInterval is how often a daemon that leaves looks at what is open.
	shutdownCheckInterval = 20 * time.Millisecond
	// lastRequestWait is how long a connection of a draining daemon may wait for a request that is on
	// its way.
	lastRequestWait = 60 * time.Millisecond
)

// Leaving is an end in order of all servers of a daemon.
type Leaving struct {
	servers []*Server
	machine *shutdown.Machine
	begunAt time.Time
}

// Remains is what an end leaves behind.
type Remains struct {
	Open int // requests without a whole answer
	Busy int // connections with such a request, or with an answer that is not received whole
	Took time.Duration
}

// BeginLeaving begins to end servers, by the times that are given.
func BeginLeaving(servers []*Server, times shutdown.Times) *Leaving {
	now := time.Now()
	for _, server := range servers {
		server.leaving.Store(true)
	}
	return &Leaving{servers, shutdown.NewMachine(now, times), now}
}

// RefusesFrom is from when on no request is begun.
func (l *Leaving) RefusesFrom() time.Time { return l.machine.RefusesFrom() }

// Open is how many requests are being handled by all servers.
func (l *Leaving) Open() int {
	open := 0
	for _, server := range l.servers {
		open += server.Open()
	}
	return open
}

// Finish ends the servers and returns once they are closed. handedOver is closed when the
// daemon may close its listeners.
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
			l.closeWaiting(now)
		}
		<-ticker.C
	}
	remains := Remains{Open: l.Open(), Busy: l.busy(), Took: time.Since(l.begunAt)}
	for _, server := range l.servers {
		server.Close()
	}
	return remains
}

// enter does what a phase begins with.
func (l *Leaving) enter(phase shutdown.Phase) {
	for _, server := range l.servers {
		switch phase {
		case shutdown.Closing:
			server.listener.closeSoon()
		case shutdown.Cutting:
			_ = server.listener.Close()
			server.end(ErrEnding)
		}
	}
}

// busy is how many connections of all servers have something that is to be answered.
func (l *Leaving) busy() int {
	busy := 0
	for _, server := range l.servers {
		busy += server.busy()
	}
	return busy
}

// connections is how many connections of all servers are open or may still be accepted.
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

// closeWaiting closes the connections that wait for a request.
func (l *Leaving) closeWaiting(now time.Time) {
	for _, server := range l.servers {
		server.closeWaiting(now, lastRequestWait)
	}
}
