package monitoring

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Gauge is a figure that may rise and fall. Its name ends with its unit.
type Gauge struct {
	Name  string
	Value float64
}

// WriteGauges writes gauges in the order given.
func WriteGauges(w io.Writer, gauges []Gauge) {
	for _, gauge := range gauges {
		metrics.WriteGaugeFloat64(w, gauge.Name, gauge.Value)
	}
}

// Flag is 1 for true and 0 for false, as a gauge.
func Flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
