package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range in microseconds and the number of significant digits of the histograms.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// Report holds the results of one load.
type Report struct {
	// Offered counts the requests that were sent, NotOffered the arrivals beyond the bound in flight.
	Offered, NotOffered int
	// Completed counts responses with every token and the end marker.
	Completed int
	// Good counts completed responses whose first token arrived within Settings.GoodFirstToken.
	Good int
	// Refused counts refusals by error kind.
	Refused map[string]int
	// Failed counts by cause the requests that were neither completed nor refused.
	Failed map[string]int
	// Tokens counts the tokens received.
	Tokens int
	// Seconds is the time from the start to the last response.
	Seconds float64
	// TokensPerSecond and GoodPerSecond are rates over Seconds.
	TokensPerSecond, GoodPerSecond float64
	// FirstToken is the time to the first token, BetweenTokens the time between tokens, in milliseconds.
	FirstToken, BetweenTokens Quantiles
	// Refusal is the time to a refusal in milliseconds.
	Refusal Quantiles
}

// Quantiles holds the number of measured times and their quantiles in milliseconds.
type Quantiles struct {
	Count         int64
	P50, P95, P99 float64
	Max           float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	const perMillisecond = 1000
	milliseconds := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / perMillisecond
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   milliseconds(50), P95: milliseconds(95), P99: milliseconds(99),
		Max: float64(histogram.Max()) / perMillisecond,
	}
}
