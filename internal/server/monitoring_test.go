package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/monitoring"
	"tealpond/internal/transport"
)

// TestGaugesOfALeader: each name once, those of the leader included; a replica whose
// storage isn't open has few.
func TestGaugesOfALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		var gauges []monitoring.Gauge
		if err := transport.Decode(h.call(requestGauges, nil).Body, &gauges); err != nil {
			t.Fatal(err)
		}
		values := map[string]float64{}
		for _, gauge := range gauges {
			if _, twice := values[gauge.Name]; twice {
				t.Errorf("%s stands twice", gauge.Name)
			}
			values[gauge.Name] = gauge.Value
		}
		for name, want := range map[string]float64{"tealpond_raft_voters": 3, "tealpond_raft_votes": 1, "tealpond_raft_leader_known": 1, "tealpond_worker_leases": 0} {
			if got, ok := values[name]; !ok || got != want {
				t.Errorf("%s is %v (%v), want %v", name, got, ok, want)
			}
		}
		if values["tealpond_raft_term"] < 1 || values["tealpond_raft_applied_index"] != float64(h.replica.state.AppliedIndex) {
			t.Errorf("%v", values)
		}
	})
	if gauges := newReplica().gauges(time.Unix(1000, 0)); len(gauges) != 3 {
		t.Errorf("without a node: %+v", gauges)
	}
}
