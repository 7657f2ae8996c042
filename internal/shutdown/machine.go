// Package shutdown defines the phases of a daemon's graceful shutdown: how long it accepts
// connections and requests, how long it responds, and when the process may exit. It is a
// pure state machine, the same for all roles; package httpserver applies it to a daemon's
// listeners.
package shutdown

import (
	"time"

	"tealpond/internal/timing"
)

const (
	// refuseFraction is the fraction of graceS after which a daemon that is shutting down starts no new
	// request.
	refuseFraction = 0.45
	// respondFraction is the fraction of graceS within which open requests are answered. It is below
	// 1 because the process must exit before graceS has elapsed.
	respondFraction = 0.92
	// abortFraction is the fraction of graceS that handlers have for a final response after
	// respondFraction.
	abortFraction = 0.03
)

// Phase is a phase of a daemon's shutdown.
type Phase int

// The phases, in order.
const (
	// Announcing means that the daemon is no longer ready, but still accepts connections
	// and requests. Each response closes its connection where possible, so that clients
	// connect to another daemon.
	Announcing Phase = iota
	// Closing means that listeners are closed once pending connections are accepted, and idle
	// connections are closed. Requests that were accepted are answered.
	Closing
	// Aborting means that the time for open requests has passed. Those that are still open get
	// a final response.
	Aborting
	// Ended means that the process may exit.
	Ended
)

// Timeouts are the time limits of the phases.
type Timeouts struct {
	Notice        time.Duration // minimum duration of Announcing
	RefuseAfter   time.Duration // time after the signal from which on no request is started
	RespondWithin time.Duration // time after the signal by which requests must be answered
	MaxAborting   time.Duration // maximum duration of Aborting
}

// TimeoutsFor derives the time limits from the grace period that operators give a daemon and
// the notice period. The notice is limited to a fraction of the grace period.
func TimeoutsFor(grace, notice time.Duration) Timeouts {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return Timeouts{
		Notice:        min(notice, part(timing.ShutdownWaitFraction)),
		RefuseAfter:   part(refuseFraction),
		RespondWithin: part(respondFraction),
		MaxAborting:   part(abortFraction),
	}
}

// Status is the input of Machine.Advance about the daemon that is shutting down.
type Status struct {
	// HandedOver reports whether the other daemons no longer depend on this one, so that
	// it may close its listeners.
	HandedOver bool
	// Open is the number of connections that are open or may still be accepted. Idle
	// connections count as well, since a request may arrive on them at any time.
	Open int
}

// Machine is the state machine of one daemon's shutdown.
type Machine struct {
	startedAt time.Time
	timeouts  Timeouts
	phase     Phase
}

// NewMachine returns the state machine of a shutdown that starts now.
func NewMachine(now time.Time, timeouts Timeouts) *Machine {
	return &Machine{startedAt: now, timeouts: timeouts}
}

// RefusesFrom returns the time from which on no request is started, because it might not
// be answered in time.
func (m *Machine) RefusesFrom() time.Time { return m.startedAt.Add(m.timeouts.RefuseAfter) }

// Advance returns the phase at the given time and status. A phase never returns to an
// earlier one.
func (m *Machine) Advance(now time.Time, status Status) Phase {
	elapsed := now.Sub(m.startedAt)
	if m.phase == Announcing && elapsed >= m.timeouts.Notice && status.HandedOver {
		m.phase = Closing
	}
	// The time limit for responses holds even if nothing was handed over.
	if m.phase < Aborting && elapsed >= m.timeouts.RespondWithin {
		m.phase = Aborting
	}
	done := m.phase == Closing && status.Open == 0
	aborted := m.phase == Aborting && (status.Open == 0 || elapsed >= m.timeouts.RespondWithin+m.timeouts.MaxAborting)
	if done || aborted {
		m.phase = Ended
	}
	return m.phase
}
