package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range in microseconds and the precision in digits of the histograms.
const (
	lowest    = 1
	highest   = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

// Report is the result of one load.
type Report struct {
	// Offered counts the requests that were sent, NotOffered the arrivals beyond the bound in flight.
	Offered, NotOffered int
	// Completed counts answers with every token and the end marker.
	Completed int
	// Good counts completed answers whose first token came in time.
	Good int
	// Refused counts refusals by error kind.
	Refused map[string]int
	// Failed counts by cause the answers that were neither complete nor refused.
	Failed map[string]int
	// Tokens counts the tokens received.
	Tokens int
	// Seconds is the time from the first arrival to the last answer.
	Seconds float64
	// TokensPerSecond and GoodPerSecond are rates over Seconds.
	TokensPerSecond, GoodPerSecond float64
	// FirstToken and BetweenTokens are in milliseconds.
	FirstToken, BetweenTokens Quantiles
	// Refusal is the time to a refusal in milliseconds.
	Refusal Quantiles
}

// Quantiles are quantiles of a time in milliseconds.
type Quantiles struct {
	Count         int64
	P50, P95, P99 float64
	Max           float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, precision)
}

func record(histogram *hdrhistogram.Histogram, taken time.Duration) {
	_ = histogram.RecordValue(min(max(taken.Microseconds(), lowest), highest))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	const perMillisecond = 1000
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / perMillisecond
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   at(50), P95: at(95), P99: at(99),
		Max: float64(histogram.Max()) / perMillisecond,
	}
}
