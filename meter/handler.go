package meter

import (
	"net/http"
	"slices"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// quantiles are the quantiles reported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler returns a handler that serves all metrics in the Prometheus text format.
func (meter *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		writer.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(writer, format)
		for _, family := range meter.families() {
			if err := encoder.Encode(family); err != nil {
				return
			}
		}
	})
}

func (meter *Meter) families() []*dto.MetricFamily {
	meter.mutex.RLock()
	defer meter.mutex.RUnlock()
	byName := map[Name]*dto.MetricFamily{}
	for _, entry := range meter.series {
		addSeries(byName, entry)
	}
	families := make([]*dto.MetricFamily, 0, len(byName))
	for _, family := range byName {
		families = append(families, family)
	}
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int {
		if a.GetName() < b.GetName() {
			return -1
		}
		return 1
	})
	return families
}

func addSeries(byName map[Name]*dto.MetricFamily, entry series) {
	family, ok := byName[entry.name]
	if !ok {
		family = &dto.MetricFamily{Name: proto.String(string(entry.name)), Type: metricType(entry.metric)}
		byName[entry.name] = family
	}
	family.Metric = append(family.Metric, toMetric(entry))
}

func metricType(metric any) *dto.MetricType {
	switch metric.(type) {
	case metrics.Histogram:
		return dto.MetricType_SUMMARY.Enum()
	case metrics.Counter:
		return dto.MetricType_COUNTER.Enum()
	default:
		return dto.MetricType_GAUGE.Enum()
	}
}

func toMetric(entry series) *dto.Metric {
	metric := &dto.Metric{Label: toLabels(entry.labels)}
	switch value := entry.metric.(type) {
	case metrics.Histogram:
		metric.Summary = toSummary(value.Snapshot())
	case metrics.Counter:
		metric.Counter = &dto.Counter{Value: proto.Float64(float64(value.Count()))}
	case metrics.Gauge:
		metric.Gauge = &dto.Gauge{Value: proto.Float64(float64(value.Value()))}
	}
	return metric
}

func toSummary(histogram metrics.Histogram) *dto.Summary {
	summary := &dto.Summary{
		SampleCount: proto.Uint64(uint64(histogram.Count())),
		SampleSum:   proto.Float64(float64(histogram.Sum())),
	}
	for index, value := range histogram.Percentiles(quantiles) {
		quantile := &dto.Quantile{Quantile: proto.Float64(quantiles[index]), Value: proto.Float64(value)}
		summary.Quantile = append(summary.Quantile, quantile)
	}
	return summary
}

func toLabels(labels Labels) []*dto.LabelPair {
	var pairs []*dto.LabelPair
	add := func(name, value string) {
		if value == "" {
			return
		}
		pairs = append(pairs, &dto.LabelPair{Name: proto.String(name), Value: proto.String(value)})
	}
	add("class", labels.Class)
	add("kind", labels.Kind)
	add("subject", labels.Subject)
	add("tenant", labels.Tenant)
	return pairs
}
