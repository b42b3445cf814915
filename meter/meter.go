package meter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSeries bounds the number of series of one daemon.
	maxSeries = 2048
	// sampleSize is the number of values that one histogram keeps.
	sampleSize = 1028
)

// Meter is the set of metrics of one daemon. It is safe for concurrent use. Use New.
type Meter struct {
	registry metrics.Registry
	mutex    sync.RWMutex
	// series has at most maxSeries entries besides the aggregated ones.
	series map[seriesKey]series
}

type seriesKey struct {
	name   Name
	labels Labels
}

type series struct {
	name   Name
	labels Labels
	metric any
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), series: map[seriesKey]series{}}
}

// Observe adds a duration to a histogram, in microseconds.
func (meter *Meter) Observe(name Name, labels Labels, value time.Duration) {
	histogram := meter.metric(name, labels, newHistogram).(metrics.Histogram)
	histogram.Update(value.Microseconds())
}

// Count adds delta to a counter.
func (meter *Meter) Count(name Name, labels Labels, delta int64) {
	counter := meter.metric(name, labels, newCounter).(metrics.Counter)
	counter.Inc(delta)
}

// Set sets a gauge.
func (meter *Meter) Set(name Name, labels Labels, value int64) {
	gauge := meter.metric(name, labels, newGauge).(metrics.Gauge)
	gauge.Update(value)
}

func (meter *Meter) metric(name Name, labels Labels, create func() any) any {
	key := seriesKey{name, labels}
	meter.mutex.RLock()
	found, ok := meter.series[key]
	meter.mutex.RUnlock()
	if ok {
		return found.metric
	}
	return meter.register(name, labels, create)
}

// register creates a series, or the aggregated one if there are too many.
func (meter *Meter) register(name Name, labels Labels, create func() any) any {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if len(meter.series) >= maxSeries {
		labels = labels.aggregated()
	}
	key := seriesKey{name, labels}
	if found, ok := meter.series[key]; ok {
		return found.metric
	}
	metric := meter.registry.GetOrRegister(labels.key(string(name)), create)
	meter.series[key] = series{name: name, labels: labels, metric: metric}
	return metric
}

func newHistogram() any {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, 0.015))
}

func newCounter() any { return metrics.NewCounter() }

func newGauge() any { return metrics.NewGauge() }
