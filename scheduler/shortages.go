package scheduler

import (
	"maps"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/residency"
)

const (
	// shortageLogInterval is the shortest time between two lines about one model, and maxShortagesLogged the largest
	// number of models with a line in that time.
	shortageLogInterval = 5 * time.Second
	maxShortagesLogged  = 20
)

// shortages counts the models that needed a copy in a step and got no order for it, and logs some of them. Use
// newShortages.
type shortages struct {
	// counts maps causes to the number of models and steps.
	counts map[residency.Cause]int64
	// logged maps models, as service/model, to the time of their last line; entries older than shortageLogInterval are
	// removed when there are too many.
	logged map[string]time.Time
}

func newShortages() shortages {
	return shortages{counts: map[residency.Cause]int64{}, logged: map[string]time.Time{}}
}

// add counts the shortages of a step for the service, and logs those of models that had no line lately.
func (shortages shortages) add(service string, found []residency.Shortage, now time.Time) {
	for _, shortage := range found {
		shortages.counts[shortage.Cause]++
		if shortages.mayLog(service+"/"+shortage.Model, now) {
			event.CopyMissing.Log("Service", service, "Model", shortage.Model, "Missing", shortage.Missing, "Reason", string(shortage.Cause))
		}
	}
}

// mayLog reports whether the model may have a line now, and records it.
func (shortages shortages) mayLog(model string, now time.Time) bool {
	if at, ok := shortages.logged[model]; ok && now.Sub(at) < shortageLogInterval {
		return false
	}
	if len(shortages.logged) >= maxShortagesLogged {
		maps.DeleteFunc(shortages.logged, func(_ string, at time.Time) bool { return now.Sub(at) >= shortageLogInterval })
	}
	if len(shortages.logged) >= maxShortagesLogged {
		return false
	}
	shortages.logged[model] = now
	return true
}

// Shortages returns, by cause, how often a model needed a copy in a step and got no order for it.
func (scheduler *Scheduler) Shortages() map[residency.Cause]int64 {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return maps.Clone(scheduler.shortages.counts)
}
