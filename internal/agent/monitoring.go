package agent

import (
	"context"
	"io"
	"time"

	"tealpond/internal/monitoring"
)

// WriteMetrics writes the metrics of this agent, collected in its event loop; it implements
// monitoring.Source.
func (a *Agent) WriteMetrics(ctx context.Context, w io.Writer) {
	received := make(chan []monitoring.Gauge, 1)
	select {
	case a.events <- event{callback: func() { received <- a.gauges() }}:
	case <-ctx.Done():
		return
	}
	select {
	case gauges := <-received:
		monitoring.WriteGauges(w, gauges)
	case <-ctx.Done():
	}
}

// gauges collects the metrics; it must be called in the event loop.
func (a *Agent) gauges() []monitoring.Gauge {
	gauges := []monitoring.Gauge{
		{Name: "tealpond_runner_known", Value: monitoring.BoolValue(a.session != nil)},
		{Name: "tealpond_runner_calls_in_flight", Value: float64(a.callsInFlight)},
	}
	session := a.session
	if session == nil {
		return gauges
	}
	leaseLeft := time.Duration(session.workerLeaseUntilMs-session.estimatedClockMs(a.now)) * time.Millisecond
	return append(gauges,
		monitoring.Gauge{Name: "tealpond_fence", Value: float64(session.fence)},
		monitoring.Gauge{Name: "tealpond_runner_silent", Value: monitoring.BoolValue(session.silent(a.now))},
		monitoring.Gauge{Name: "tealpond_runner_leaving", Value: monitoring.BoolValue(a.isLeaving(session))},
		monitoring.Gauge{Name: "tealpond_worker_lease_left_seconds", Value: max(leaseLeft, 0).Seconds()},
		monitoring.Gauge{Name: "tealpond_runs", Value: float64(len(session.runs))},
		monitoring.Gauge{Name: "tealpond_completions_read", Value: float64(session.readSequence)},
		monitoring.Gauge{Name: "tealpond_completions_committed", Value: float64(session.committedSequence)},
	)
}
