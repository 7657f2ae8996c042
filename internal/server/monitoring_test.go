package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/monitoring"
	"tealpond/internal/transport"
)

// TestLeaderGauges checks that a leader returns each gauge once, including those that only a leader
// has, and that a replica without a consensus node returns only the three that need none.
func TestLeaderGauges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		var gauges []monitoring.Gauge
		if err := transport.Decode(h.call(requestGauges, nil).Body, &gauges); err != nil {
			t.Fatal(err)
		}
		values := map[string]float64{}
		for _, gauge := range gauges {
			if _, twice := values[gauge.Name]; twice {
				t.Errorf("gauge %s is returned twice", gauge.Name)
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
