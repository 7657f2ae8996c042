// Package shutdown says in which order a daemon ends that was told to: what it still takes,
// until when it answers, and when it has ended. It is a pure state machine, the same for all
// roles; package httpserver carries it out for a daemon's listeners.
package shutdown

import (
	"time"

	"tealpond/internal/timing"
)

const (
	// refuseFraction is the part of graceS after which a draining daemon begins no request any more.
	refuseFraction = 0.45
	// answerFraction is the part of graceS within which requests are answered; the process must be
	// gone before all of it is over.
	answerFraction = 0.92
	// cutFraction is the part of graceS that handlers have for a last answer after answerFraction.
	cutFraction = 0.03
)

// Phase is a part of the end of a daemon.
type Phase int

// The phases, in their order.
const (
	// Announcing: the daemon is not ready any more and takes all that comes. Each answer
	// that can be the last of its connection is, so that clients go elsewhere.
	Announcing Phase = iota
	// Closing: no connection is accepted, and those that wait for a request are closed.
	// What was taken is answered.
	Closing
	// Cutting: it is the latest moment. What is still open gets a last answer.
	Cutting
	// Ended: the process may end.
	Ended
)

// Times are how long the phases may last.
type Times struct {
	Notice  time.Duration // the least time of Announcing
	Refuse  time.Duration // after the signal, from when on no request is begun
	Answers time.Duration // after the signal, by when requests must be answered
	Cut     time.Duration // the most time of Cutting
}

// TimesOf divides the grace time that operators give a daemon.
func TimesOf(grace, notice time.Duration) Times {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return Times{
		Notice:  min(notice, part(timing.ShutdownWaitFraction)),
		Refuse:  part(refuseFraction),
		Answers: part(answerFraction),
		Cut:     part(cutFraction),
	}
}

// Status is what a daemon has open.
type Status struct {
	// HandedOver: the others can do without this daemon, which may close its listeners.
	HandedOver bool
	// Open is how many connections are open, or may still be accepted. Those that wait for a
	// request count too: it may come in at any moment.
	Open int
}

// Machine is the end of one daemon.
type Machine struct {
	begunAt time.Time
	times   Times
	phase   Phase
}

// NewMachine begins an end.
func NewMachine(now time.Time, times Times) *Machine {
	return &Machine{begunAt: now, times: times}
}

// RefusesFrom is from when on no request is begun: it might not be answered in time.
func (m *Machine) RefusesFrom() time.Time { return m.begunAt.Add(m.times.Refuse) }

// Advance returns the phase at a time, given what is open. Phases never go back.
func (m *Machine) Advance(now time.Time, status Status) Phase {
	since := now.Sub(m.begunAt)
	if m.phase == Announcing && since >= m.times.Notice && status.HandedOver {
		m.phase = Closing
	}
	// The latest moment comes whatever is handed over.
	if m.phase < Cutting && since >= m.times.Answers {
		m.phase = Cutting
	}
	done := m.phase == Closing && status.Open == 0
	cut := m.phase == Cutting && (status.Open == 0 || since >= m.times.Answers+m.times.Cut)
	if done || cut {
		m.phase = Ended
	}
	return m.phase
}
