// Package meter counts what the daemon does: histograms for each tenant and
// class, counters and gauges.
//
// Values live in a go-metrics registry. The number of series is bounded:
// above the bound, new tenants and classes are counted together as "other".
// Handler serves the registry in the text format of scrapers.
package meter
