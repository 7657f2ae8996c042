package registry

import (
	"math"
	"time"
)

// Observation is what one daemon's requests tell of a runner since it last reported. It
// says what was seen, and never what is to be done.
type Observation struct {
	_         struct{} `cbor:",toarray"`
	ID        string   // of the runner
	Answers   int64    // answered in order
	LatencyMs int64    // of these together
	Failures  int64    // answers that were none, or failed
}

// Health is what all daemons' requests together tell of a runner lately. It is rounded, so
// that small changes need not be told.
type Health struct {
	_         struct{} `cbor:",toarray"`
	LatencyMs int64    // typical; 0: not known
	FailedPct int64    // of its requests, in percent
}

// healthEstimate is a runner's health before it is rounded.
type healthEstimate struct {
	latencyMs  float64
	failedPart float64
	seen       float64 // requests, the older ones counting less
}

// Constants of the estimates.
const (
	// sampleWeight is the weight of one more request against all that was seen before.
	sampleWeight = 0.08
	// failureMemory is the time in which a runner of which nothing is seen is forgiven
	// most of its failures.
	failureMemory = 4 * time.Second
	// latencyStep is the ratio between two latencies that are told apart.
	latencyStep = 1.2
	// failedStepPct is the step between two parts of failures that are told apart.
	failedStepPct = 10
)

// Observations merges what daemons report, by runner. A repeated report counts twice,
// which does little harm: it is an average.
type Observations struct {
	estimates map[string]*healthEstimate
	decayedAt time.Time
}

// NewObservations makes an empty collection.
func NewObservations() *Observations {
	return &Observations{estimates: map[string]*healthEstimate{}}
}

// Add takes in one daemon's report.
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
	e.seen += total
	// The first requests count more, so that the average is soon there.
	weight := max(1-math.Pow(1-sampleWeight, total), min(total/e.seen, 1))
	e.failedPart += weight * (float64(report.Failures)/total - e.failedPart)
	if report.Answers > 0 {
		mean := float64(report.LatencyMs) / float64(report.Answers)
		if e.latencyMs == 0 {
			e.latencyMs = mean
		} else {
			e.latencyMs += weight * (mean - e.latencyMs)
		}
	}
}

// Annotate writes into a list what is known of its runners, and forgets all others. Failures
// are forgiven with time, so that a runner that nobody uses any more is tried again.
func (o *Observations) Annotate(list []Runner, now time.Time) {
	decay := 1.0
	if !o.decayedAt.IsZero() {
		decay = math.Exp(-max(now.Sub(o.decayedAt).Seconds(), 0) / failureMemory.Seconds())
	}
	o.decayedAt = now
	kept := map[string]*healthEstimate{}
	for i := range list {
		if estimate := o.estimates[list[i].ID]; estimate != nil {
			estimate.failedPart *= decay
			kept[list[i].ID] = estimate
			list[i].Health = estimate.rounded()
		}
	}
	o.estimates = kept
}

// rounded is the estimate in the steps in which it is told.
func (e *healthEstimate) rounded() Health {
	health := Health{FailedPct: int64(e.failedPart*100) / failedStepPct * failedStepPct}
	if e.latencyMs > 0 {
		step := math.Round(math.Log(max(e.latencyMs, 1)) / math.Log(latencyStep))
		health.LatencyMs = int64(math.Round(math.Pow(latencyStep, step)))
	}
	return health
}
