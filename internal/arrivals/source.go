package arrivals

import (
	"math"
	"math/rand/v2"
	"time"
)

// week holds a factor for each weekday from Sunday.
type week [7]float64

// calendar is what all sources of one day share.
type calendar struct {
	start time.Time
	days  int
	// busyness holds a factor for each day.
	busyness []float64
}

// source makes the arrival times of one user group or job over all days.
type source interface {
	times(random *rand.Rand, calendar calendar) []time.Time
}

// closedShare is the share of open days on which a source stays closed.
const closedShare = 0.03

// burst is a group that comes right after an opening time.
type burst struct {
	// opens is the time of day.
	opens time.Duration
	// jitter is the standard deviation of the opening from day to day.
	jitter time.Duration
	// size is the mean number of requests on a day with factor one.
	size float64
	// spread is the mean time of a request after the opening.
	spread time.Duration
	week   week
}

func (burst burst) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	for number := range calendar.days {
		midnight := calendar.start.Add(time.Duration(number) * day)
		opening := midnight.Add(burst.opens + time.Duration(random.NormFloat64()*float64(burst.jitter)))
		closed := random.Float64() < closedShare
		count := poisson(random, burst.size*burst.week[midnight.Weekday()]*calendar.busyness[number])
		for range count {
			at := opening.Add(time.Duration(random.ExpFloat64() * float64(burst.spread)))
			if !closed {
				times = append(times, at)
			}
		}
	}
	return times
}

// sessions are users who come within hours of the day and send several requests each.
type sessions struct {
	// from and to bound the hours; the middle is twice as busy as the edges.
	from, to time.Duration
	// perDay is the mean number of sessions on a day with factor one.
	perDay float64
	// requests is the mean number of requests of a session, at least one.
	requests float64
	// think is the median time between two requests.
	think time.Duration
	week  week
}

// thinkSpread is the standard deviation of the logarithm of the time between two requests.
const thinkSpread = 1.0

func (sessions sessions) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	for number := range calendar.days {
		midnight := calendar.start.Add(time.Duration(number) * day)
		closed := random.Float64() < closedShare
		count := poisson(random, sessions.perDay*sessions.week[midnight.Weekday()]*calendar.busyness[number])
		for range count {
			at := midnight.Add(sessions.moment(random))
			for more := true; more; more = random.Float64() > 1/sessions.requests {
				if !closed {
					times = append(times, at)
				}
				pause := math.Exp(thinkSpread*random.NormFloat64()) * float64(sessions.think)
				at = at.Add(time.Duration(pause))
			}
		}
	}
	return times
}

// moment draws a time of day: half uniform, half triangular.
func (sessions sessions) moment(random *rand.Rand) time.Duration {
	place := random.Float64()
	if random.Float64() < 0.5 {
		place = (place + random.Float64()) / 2
	}
	return sessions.from + time.Duration(place*float64(sessions.to-sessions.from))
}

// job is a program that sends requests at a fixed interval.
type job struct {
	// first is the time of day of the first run; interval may be longer than a day.
	first, interval time.Duration
	// jitter is the standard deviation of each run.
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
		for number := range job.requests {
			times = append(times, at.Add(time.Duration(number)*jobPause))
		}
	}
	return times
}

// poisson draws a count with the mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := mean - random.ExpFloat64(); left > 0; left -= random.ExpFloat64() {
		count++
	}
	return count
}
