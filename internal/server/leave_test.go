package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// TestLeavingServerIsReleasedOnceTheOthersAreWell: while another voter lags the leader
// has it wait; then it may end, and its zones are given to another.
func TestLeavingServerIsReleasedOnceTheOthersAreWell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		(&state.AppointAggregator{Aggregator: state.ZoneAggregator{Zone: "z", Member: "b"}}).Apply(h.replica.state)
		if response := h.call(rpc.KindReleaseZones, rpc.ZoneRelease{Disk: "b"}); response.Code != codeStillNeeded || response.RetryAfterMs != shutdownPollInterval.Milliseconds() || response.Text == "" {
			t.Errorf("while c is silent: %+v", response)
		}
		released := false
		for i := 0; i < 100 && !released; i++ {
			h.acknowledge("c")
			response := h.call(rpc.KindReleaseZones, rpc.ZoneRelease{Disk: "b"})
			released = response.Code == rpc.CodeOK
		}
		if !released || !h.replica.isLeaving("b", time.Now()) || h.replica.isLeaving("c", time.Now()) {
			t.Errorf("released %v, leaving until %v", released, h.replica.appointments.leavingUntil)
		}
		if aggregator := h.replica.state.Aggregators["z"]; aggregator.Member == "b" {
			t.Errorf("its zone is still its own: %+v", aggregator)
		}
	})
}

// TestLeaveWithoutANodeEndsAtOnce: a server that belongs to no cluster holds nothing that
// others need.
func TestLeaveWithoutANodeEndsAtOnce(t *testing.T) {
	replica := newReplica()
	done := make(chan struct{})
	replica.beginLeave(t.Context(), done)
	select {
	case <-done:
	default:
		t.Error("it waits")
	}
	if len(replica.departure.waiters) != 0 {
		t.Errorf("%d wait", len(replica.departure.waiters))
	}
}

// TestLeavingLeaderTransfersLeadership: once the others can do without it, or shortly
// before its time is over; the process ends when another leads.
func TestLeavingLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.replica.settings.Bounds.GraceS = 10
		done := make(chan struct{})
		h.replica.beginLeave(t.Context(), done)
		h.turn()
		if h.replica.departure.transferring {
			t.Fatal("it hands over while another voter is silent")
		}
		for i := 0; i < 100 && !h.replica.departure.transferring; i++ {
			h.acknowledge("c")
			h.turn()
		}
		if !h.replica.departure.transferring {
			t.Fatal("it does not hand over")
		}
		time.Sleep(leadershipTransferTimeout + time.Millisecond)
		h.endTurn()
		select {
		case <-done:
		default:
			t.Error("it waits after its time")
		}
	})
}
