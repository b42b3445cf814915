package scheduler

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// reportLife is how long a report counts if its daemon sends no other.
const reportLife = 3 * time.Second

// heard is what one daemon reported.
type heard struct {
	// wants are the newest ones by key and loads those of the last whole report.
	wants map[demand.Key]demand.Want
	loads mesh.Loads
	at    time.Time
}

// with returns what is known after a further report.
func (heard heard) with(report mesh.Report, now time.Time) heard {
	heard.at = now
	if report.Partial && heard.wants != nil {
		for _, want := range report.Wants {
			heard.wants[want.Key] = want
		}
		return heard
	}
	heard.wants = make(map[demand.Key]demand.Want, len(report.Wants))
	for _, want := range report.Wants {
		heard.wants[want.Key] = want
	}
	if !report.Partial {
		heard.loads = report.Loads
	}
	return heard
}

// totals is the demand of all daemons for the engines of one service.
type totals struct {
	models, adapters map[string]residency.Demand
	// running and adaptersRunning map engines to requests in flight by model, or by model/adapter.
	running, adaptersRunning map[topology.Incarnation]map[string]int
}

// total joins the reports for one service.
func total(reports map[string]heard, service string, now time.Time) *totals {
	sum := &totals{
		models:          map[string]residency.Demand{},
		adapters:        map[string]residency.Demand{},
		running:         map[topology.Incarnation]map[string]int{},
		adaptersRunning: map[topology.Incarnation]map[string]int{},
	}
	for _, heard := range reports {
		if now.Sub(heard.at) > reportLife {
			continue
		}
		for _, want := range heard.wants {
			if want.Service == service {
				sum.want(want)
			}
		}
		for place, flight := range heard.loads {
			if place.Service == service && place.Model != "" {
				sum.run(place, flight.Running)
			}
		}
	}
	return sum
}

// want adds what one daemon wants. Requests for an adapter want its model too.
func (sum *totals) want(want demand.Want) {
	sum.models[want.Model] = joined(sum.models[want.Model], want)
	if want.Adapter != "" {
		key := want.Model + "/" + want.Adapter
		sum.adapters[key] = joined(sum.adapters[key], want)
	}
}

func joined(sum residency.Demand, want demand.Want) residency.Demand {
	sum.Waiting += want.Waiting
	sum.Rate += want.Rate
	sum.Tokens += want.Tokens
	if want.Waiting > 0 && (sum.Oldest.IsZero() || want.Oldest.Before(sum.Oldest)) {
		sum.Oldest = want.Oldest
	}
	if want.Target > 0 && (sum.Target == 0 || want.Target < sum.Target) {
		sum.Target = want.Target
	}
	if want.Used.After(sum.Used) {
		sum.Used = want.Used
	}
	return sum
}

// run adds requests in flight at one place.
func (sum *totals) run(place demand.Place, count int) {
	model := sum.models[place.Model]
	model.Running += count
	sum.models[place.Model] = model
	add(sum.running, place.Incarnation, place.Model, count)
	if place.Adapter == "" {
		return
	}
	key := place.Model + "/" + place.Adapter
	adapter := sum.adapters[key]
	adapter.Running += count
	sum.adapters[key] = adapter
	add(sum.adaptersRunning, place.Incarnation, key, count)
}

func add(to map[topology.Incarnation]map[string]int, engine topology.Incarnation, key string, count int) {
	if to[engine] == nil {
		to[engine] = map[string]int{}
	}
	to[engine][key] += count
}
