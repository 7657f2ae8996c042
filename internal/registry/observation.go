package registry

import (
	"math"
	"time"
)

// Observation summarizes the requests that one daemon sent to a runner since its last report. It
// holds measurements only, no decisions.
type Observation struct {
	_         struct{} `cbor:",toarray"`
	ID        string   // of the runner
	Answers   int64    // requests that succeeded
	LatencyMs int64    // the sum over Answers
	Failures  int64    // requests that failed or got no answer
}

// Health is the recent health of a runner, from the requests of all daemons. It is rounded, so
// that small changes need not be sent to the daemons.
type Health struct {
	_         struct{} `cbor:",toarray"`
	LatencyMs int64    // moving average; 0 if unknown
	FailedPct int64    // share of failed requests, in percent
}

// healthEstimate is the health of a runner before rounding.
type healthEstimate struct {
	latencyMs    float64
	failureRate  float64
	requestCount float64
}

// Constants of the health estimates.
const (
	// sampleWeight is the weight of one more request relative to all earlier ones.
	sampleWeight = 0.08
	// failureDecayTime is the time constant with which the failure rate of a runner without
	// requests decays.
	failureDecayTime = 4 * time.Second
	// latencyStepRatio is the ratio between two neighboring rounded latencies.
	latencyStepRatio = 1.2
	// failureStepPercent is the difference between two neighboring rounded failure rates.
	failureStepPercent = 10
)

// Observations merges the reports of the daemons, by runner. A report that arrives twice counts
// twice, which does little harm to a moving average.
type Observations struct {
	estimates map[string]*healthEstimate
	decayedAt time.Time
}

// NewObservations returns an empty collection.
func NewObservations() *Observations {
	return &Observations{estimates: map[string]*healthEstimate{}}
}

// Add merges the report of one daemon. Entries without requests or with negative numbers are
// skipped.
func (o *Observations) Add(reports []Observation) {
	for _, report := range reports {
		total := report.Answers + report.Failures
		if total <= 0 || report.Answers < 0 || report.Failures < 0 || report.LatencyMs < 0 {
			continue
		}
		estimate := o.estimates[report.ID]
		if estimate == nil {
			estimate = &healthEstimate{}
			o.estimates[report.ID] = estimate
		}
		estimate.add(report, float64(total))
	}
}

func (e *healthEstimate) add(report Observation, total float64) {
	e.requestCount += total
	// The first requests weigh more, so that the average converges soon.
	weight := max(1-math.Pow(1-sampleWeight, total), min(total/e.requestCount, 1))
	e.failureRate += weight * (float64(report.Failures)/total - e.failureRate)
	if report.Answers > 0 {
		mean := float64(report.LatencyMs) / float64(report.Answers)
		if e.latencyMs == 0 {
			e.latencyMs = mean
		} else {
			e.latencyMs += weight * (mean - e.latencyMs)
		}
	}
}

// Annotate sets the health of the runners in a list, and forgets all other runners. Failure rates
// decay with time, so that a runner that gets no more requests is tried again.
func (o *Observations) Annotate(list []Runner, now time.Time) {
	decay := 1.0
	if !o.decayedAt.IsZero() {
		decay = math.Exp(-max(now.Sub(o.decayedAt).Seconds(), 0) / failureDecayTime.Seconds())
	}
	o.decayedAt = now
	kept := map[string]*healthEstimate{}
	for i := range list {
		if estimate := o.estimates[list[i].ID]; estimate != nil {
			estimate.failureRate *= decay
			kept[list[i].ID] = estimate
			list[i].Health = estimate.rounded()
		}
	}
	o.estimates = kept
}

// rounded returns the estimate as it is sent to the daemons, with latency and failure rate rounded
// to steps.
func (e *healthEstimate) rounded() Health {
	health := Health{FailedPct: int64(e.failureRate*100) / failureStepPercent * failureStepPercent}
	if e.latencyMs > 0 {
		step := math.Round(math.Log(max(e.latencyMs, 1)) / math.Log(latencyStepRatio))
		health.LatencyMs = int64(math.Round(math.Pow(latencyStepRatio, step)))
	}
	return health
}
