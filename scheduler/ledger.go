package scheduler

import (
	"maps"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/topology"
)

// reportLife is how long a report counts if its daemon sends no other, beside what reportStep adds for each daemon.
const (
	reportLife = 3 * time.Second
	reportStep = 25 * time.Millisecond
)

// heard is what one daemon reported.
type heard struct {
	// wants are the newest ones by key and loads those of the last whole report.
	wants map[demand.Key]demand.KeyDemand
	loads mesh.Loads
	at    time.Time
}

// waiting reports whether requests of the daemon wait for a model or adapter.
func (heard heard) waiting() bool {
	for _, want := range heard.wants {
		if want.Waiting > 0 {
			return true
		}
	}
	return false
}

// ledger keeps the reports of all daemons and their sums.
type ledger struct {
	// reports maps daemons to their last reports.
	reports map[string]heard
	// waiting names the daemons whose requests wait for a model or adapter.
	waiting map[string]bool
	// services maps services to the sum of the demand for them.
	services map[string]*totals
	// flights maps replicas to the sum of the requests in flight; an entry is never zero.
	flights map[topology.Incarnation]demand.InFlight
}

func newLedger() *ledger {
	return &ledger{
		reports:  map[string]heard{},
		waiting:  map[string]bool{},
		services: map[string]*totals{},
		flights:  map[topology.Incarnation]demand.InFlight{},
	}
}

// take counts a report, and reports whether it changed how many requests wait.
func (ledger *ledger) take(report mesh.Report, now time.Time) bool {
	known := ledger.reports[report.Name]
	changed := false
	if known.wants == nil {
		known.wants = make(map[demand.Key]demand.KeyDemand, len(report.Wants))
	}
	fresh := make(map[demand.Key]bool, len(report.Wants))
	for _, want := range report.Wants {
		before, ok := known.wants[want.Key]
		if ok {
			ledger.totals(want.Service).want(report.Name, before, dropped)
		}
		changed = changed || before.Waiting != want.Waiting
		ledger.totals(want.Service).want(report.Name, want, counted)
		known.wants[want.Key] = want
		fresh[want.Key] = true
	}
	if !report.Partial {
		ledger.dropStale(report.Name, known.wants, fresh)
		ledger.run(known.loads, dropped)
		ledger.run(report.Loads, counted)
		known.loads = report.Loads
	}
	known.at = now
	ledger.reports[report.Name] = known
	ledger.note(report.Name, known.waiting())
	return changed
}

// note keeps whether requests of the daemon wait.
func (ledger *ledger) note(daemon string, waiting bool) {
	if waiting {
		ledger.waiting[daemon] = true
		return
	}
	delete(ledger.waiting, daemon)
}

// dropStale drops the wants that a whole report does not name.
func (ledger *ledger) dropStale(daemon string, wants map[demand.Key]demand.KeyDemand, fresh map[demand.Key]bool) {
	for key, want := range wants {
		if !fresh[key] {
			ledger.totals(key.Service).want(daemon, want, dropped)
			delete(wants, key)
		}
	}
}

// run counts or drops the requests in flight of one report.
func (ledger *ledger) run(loads mesh.Loads, sign int) {
	for place, flight := range loads {
		if place.Model != "" {
			ledger.totals(place.Service).run(place, flight.Running, sign)
		}
		sum := ledger.flights[place.Incarnation]
		if sign == dropped {
			sum = sum.Minus(flight)
		} else {
			sum = sum.Plus(flight)
		}
		if sum == (demand.InFlight{}) {
			delete(ledger.flights, place.Incarnation)
			continue
		}
		ledger.flights[place.Incarnation] = sum
	}
}

// totals returns the sum of the demand for the service.
func (ledger *ledger) totals(service string) *totals {
	sum, ok := ledger.services[service]
	if !ok {
		sum = newTotals()
		ledger.services[service] = sum
	}
	return sum
}

// expire drops the reports of daemons that were not heard for too long.
func (ledger *ledger) expire(now time.Time) {
	life := reportLife + time.Duration(len(ledger.reports))*reportStep
	for daemon, known := range ledger.reports {
		if now.Sub(known.at) <= life {
			continue
		}
		for _, want := range known.wants {
			ledger.totals(want.Service).want(daemon, want, dropped)
		}
		ledger.run(known.loads, dropped)
		delete(ledger.reports, daemon)
		delete(ledger.waiting, daemon)
	}
}

// others returns the requests in flight from all daemons but the named one, by replica.
func (ledger *ledger) others(except string) map[topology.Incarnation]demand.InFlight {
	sum := maps.Clone(ledger.flights)
	for place, flight := range ledger.reports[except].loads {
		sum[place.Incarnation] = sum[place.Incarnation].Minus(flight)
		if sum[place.Incarnation] == (demand.InFlight{}) {
			delete(sum, place.Incarnation)
		}
	}
	return sum
}
