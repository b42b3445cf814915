package arrivals

import (
	"math"
	"math/rand/v2"
	"time"
)

// weekdayFactors holds a factor on the rate for each weekday, from Sunday.
type weekdayFactors [7]float64

// calendar holds the days of a workload and the factors that all sources share.
type calendar struct {
	start time.Time
	days  int
	// dayFactors holds a factor on the rate for each day.
	dayFactors []float64
}

// source generates the arrival times of one user group or job over all days.
type source interface {
	times(random *rand.Rand, calendar calendar) []time.Time
}

// closedShare is the share of open days on which a source is closed.
const closedShare = 0.03

// burst is a user group whose requests follow an opening time.
type burst struct {
	// opensAt is the opening time of day.
	opensAt time.Duration
	// jitter is the standard deviation of the opening from day to day.
	jitter time.Duration
	// meanRequests is the mean number of requests on a day with factor one.
	meanRequests float64
	// meanDelay is the mean time from the opening to a request.
	meanDelay      time.Duration
	weekdayFactors weekdayFactors
}

func (burst burst) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	for index := range calendar.days {
		midnight := calendar.start.Add(time.Duration(index) * day)
		opening := midnight.Add(burst.opensAt + time.Duration(random.NormFloat64()*float64(burst.jitter)))
		closed := random.Float64() < closedShare
		count := poisson(random, burst.meanRequests*burst.weekdayFactors[midnight.Weekday()]*calendar.dayFactors[index])
		for range count {
			at := opening.Add(time.Duration(random.ExpFloat64() * float64(burst.meanDelay)))
			if !closed {
				times = append(times, at)
			}
		}
	}
	return times
}

// sessions is a user group whose sessions start within hours of the day and send several requests each.
type sessions struct {
	// from and to bound the hours; the rate in the middle is three times that at the edges.
	from, to time.Duration
	// perDay is the mean number of sessions on a day with factor one.
	perDay float64
	// requests is the mean number of requests of a session, at least one.
	requests float64
	// thinkTime is the median time between two requests.
	thinkTime      time.Duration
	weekdayFactors weekdayFactors
}

// thinkTimeLogSigma is the standard deviation of the logarithm of the time between two requests.
const thinkTimeLogSigma = 1.0

func (sessions sessions) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	for index := range calendar.days {
		midnight := calendar.start.Add(time.Duration(index) * day)
		closed := random.Float64() < closedShare
		count := poisson(random, sessions.perDay*sessions.weekdayFactors[midnight.Weekday()]*calendar.dayFactors[index])
		for range count {
			at := midnight.Add(sessions.drawTimeOfDay(random))
			for more := true; more; more = random.Float64() > 1/sessions.requests {
				if !closed {
					times = append(times, at)
				}
				pause := math.Exp(thinkTimeLogSigma*random.NormFloat64()) * float64(sessions.thinkTime)
				at = at.Add(time.Duration(pause))
			}
		}
	}
	return times
}

// drawTimeOfDay draws a time of day from an equal mixture of a uniform and a triangular distribution.
func (sessions sessions) drawTimeOfDay(random *rand.Rand) time.Duration {
	position := random.Float64()
	if random.Float64() < 0.5 {
		position = (position + random.Float64()) / 2
	}
	return sessions.from + time.Duration(position*float64(sessions.to-sessions.from))
}

// job is a program that sends requests periodically.
type job struct {
	// first is the time of day of the first run; interval may be longer than a day.
	first, interval time.Duration
	// jitter is the standard deviation of the time of each run.
	jitter time.Duration
	// requests is the number of requests of one run, in close succession.
	requests int
}

// jobPause is the time between two requests of one run.
const jobPause = 2 * time.Second

func (job job) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	end := calendar.start.Add(time.Duration(calendar.days) * day)
	for run := calendar.start.Add(job.first); run.Before(end); run = run.Add(job.interval) {
		at := run.Add(time.Duration(random.NormFloat64() * float64(job.jitter)))
		for index := range job.requests {
			times = append(times, at.Add(time.Duration(index)*jobPause))
		}
	}
	return times
}

// poisson draws a count from a Poisson distribution with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for remaining := mean - random.ExpFloat64(); remaining > 0; remaining -= random.ExpFloat64() {
		count++
	}
	return count
}
