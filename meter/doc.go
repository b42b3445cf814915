// Package meter collects the metrics of the daemon: histograms for each tenant and class, counters and gauges.
//
// Values are stored in a go-metrics registry. The number of series is bounded: above the bound, new tenants, classes
// and subjects are aggregated under the label value "other". Handler serves the metrics in the Prometheus text
// format.
package meter
