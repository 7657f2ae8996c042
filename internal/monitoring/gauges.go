package monitoring

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Gauge is a metric whose value can rise and fall. Its name ends with its unit, if it
// has one.
type Gauge struct {
	Name  string
	Value float64
}

// WriteGauges writes gauges in the given order.
func WriteGauges(w io.Writer, gauges []Gauge) {
	for _, gauge := range gauges {
		metrics.WriteGaugeFloat64(w, gauge.Name, gauge.Value)
	}
}

// BoolValue returns the gauge value of a boolean: 1 for true and 0 for false.
func BoolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
