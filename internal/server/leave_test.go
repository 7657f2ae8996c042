package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// TestLeavingServerIsReleasedOnceOtherVotersAreHealthy checks that the leader defers the release of
// a server while another voter lags. After that it releases the server and gives its zones to
// another one.
func TestLeavingServerIsReleasedOnceOtherVotersAreHealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		(&state.AppointAggregator{Aggregator: state.ZoneAggregator{Zone: "z", Member: "b"}}).Apply(h.replica.state)
		if response := h.call(rpc.KindReleaseZones, rpc.ZoneRelease{Disk: "b"}); response.Code != codeReleaseDeferred || response.RetryAfterMs != shutdownPollInterval.Milliseconds() || response.Text == "" {
			t.Errorf("response while c is silent: %+v", response)
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
			t.Errorf("zone is still assigned to the leaving server: %+v", aggregator)
		}
	})
}

// TestLeaveWithoutNodeFinishesImmediately checks that a server that belongs to no cluster does not
// delay its exit: it holds nothing that others need.
func TestLeaveWithoutNodeFinishesImmediately(t *testing.T) {
	replica := newReplica()
	done := make(chan struct{})
	replica.beginLeave(t.Context(), done)
	select {
	case <-done:
	default:
		t.Error("leave did not finish immediately")
	}
	if len(replica.leaving.waiters) != 0 {
		t.Errorf("%d waiters left", len(replica.leaving.waiters))
	}
}

// TestLeavingLeaderTransfersLeadership checks that a leader that leaves transfers leadership once
// the cluster can do without it, or shortly before its deadline. The process may exit once another
// server leads or the transfer has timed out.
func TestLeavingLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.replica.settings.Bounds.GraceS = 10
		done := make(chan struct{})
		h.replica.beginLeave(t.Context(), done)
		h.runIteration()
		if h.replica.leaving.transferring {
			t.Fatal("leadership transferred while another voter is silent")
		}
		for i := 0; i < 100 && !h.replica.leaving.transferring; i++ {
			h.acknowledge("c")
			h.runIteration()
		}
		if !h.replica.leaving.transferring {
			t.Fatal("leadership not transferred")
		}
		time.Sleep(leadershipTransferTimeout + time.Millisecond)
		h.finishIteration()
		select {
		case <-done:
		default:
			t.Error("leave did not finish after the transfer timeout")
		}
	})
}
