package admission

import "time"

// leastRate is the least part of the starts that the forecast expects for a priority while more urgent requests keep arriving.
const leastRate = 0.125

// Forecast is the expected wait of a request.
type Forecast struct {
	// Ahead is the number of requests that start before it.
	Ahead int
	// Wait is the time until it starts, if Known is set.
	Wait time.Duration
	// Known states that the starts were measured for long enough, and Moving that there were any lately.
	Known, Moving bool
}

// InTime reports whether the request may be expected to start by the time. One with no other ahead always may: it holds nobody up.
func (forecast Forecast) InTime(now, by time.Time) bool {
	return !forecast.Known || forecast.Ahead == 0 || !now.Add(forecast.Wait).After(by)
}

// Forecast returns the expected wait of the entry, which may be in the queue. Starts of more urgent priorities are expected to go on at
// their recent rate.
func (queue *Queue) Forecast(entry *Entry, now time.Time) Forecast {
	if entry.sequence == 0 {
		entry.sequence = queue.sequence + 1
		defer func() { entry.sequence = 0 }()
		entry.rank = entry.StartBy
		if flow := queue.flows[entry.Account]; flow != nil {
			entry.rank = entry.rank.Add(flow.lag(now))
		}
	}
	starts, tokens, known := queue.rate.perSecond(now)
	left := 1.0
	if total := queue.servedRate(0, len(queue.classes), now); total > 0 {
		left = max(1-queue.servedRate(0, entry.Priority, now)/total, leastRate)
	}
	ahead, tokensAhead := queue.ahead(entry)
	seconds := float64(ahead+1) / (starts * left)
	moving := known && queue.rate.isMoving(now)
	// Without starts the tokens per second fall towards zero, and say nothing.
	if tokens > 0 && moving {
		seconds = max(seconds, float64(tokensAhead+entry.Tokens)/(tokens*left))
	}
	return Forecast{Ahead: ahead, Wait: time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second)), Known: known, Moving: moving}
}

// servedRate returns the decayed number of starts of the priorities from first up to, not including, end.
func (queue *Queue) servedRate(first, end int, now time.Time) float64 {
	sum := 0.0
	for priority := first; priority < end; priority++ {
		sum += queue.classes[priority].served.at(servedHalfLife, now)
	}
	return sum
}

// ahead returns the number of requests before the entry, and the tokens of their prompts. Those of its own priority count with their
// mean, so that the cost does not rise with their number.
func (queue *Queue) ahead(entry *Entry) (requests, tokens int) {
	for more := range entry.Priority {
		requests += queue.classes[more].length()
		tokens += queue.classes[more].tokens
	}
	class := &queue.classes[entry.Priority]
	if own := class.ahead(entry); own > 0 {
		requests += own
		tokens += class.tokens / class.length() * own
	}
	return requests, tokens
}
