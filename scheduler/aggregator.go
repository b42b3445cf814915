package scheduler

import (
	"maps"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// The time after which a daemon's report expires: reportTTL plus reportTTLPerDaemon for each daemon, since daemons
// report less often in larger fleets.
const (
	reportTTL          = 3 * time.Second
	reportTTLPerDaemon = 25 * time.Millisecond
)

// daemonReport is the latest state reported by one daemon.
type daemonReport struct {
	// demands holds the latest demand by key, and inFlight the requests in flight of the last full report.
	demands    map[demand.Key]demand.KeyDemand
	inFlight   mesh.InFlightCounts
	receivedAt time.Time
}

// waiting reports whether requests of the daemon wait for a model or adapter.
func (report daemonReport) waiting() bool {
	for _, keyDemand := range report.demands {
		if keyDemand.Waiting > 0 {
			return true
		}
	}
	return false
}

// aggregator keeps the latest report of each daemon and the sums over all of them.
type aggregator struct {
	// reports maps daemons to their latest reports.
	reports map[string]daemonReport
	// waiting holds the daemons with requests that wait for a model or adapter.
	waiting map[string]bool
	// services maps services to their total demand.
	services map[string]*totals
	// inFlight maps replicas to the sum of requests in flight; zero sums are removed.
	inFlight map[topology.Incarnation]demand.InFlight
	// paces has what all daemons observed of the pace of replicas.
	paces *pace.Estimator
}

func newAggregator() *aggregator {
	return &aggregator{
		reports:  map[string]daemonReport{},
		waiting:  map[string]bool{},
		services: map[string]*totals{},
		inFlight: map[topology.Incarnation]demand.InFlight{},
		paces:    pace.NewEstimator(),
	}
}

// add replaces the previous report of the daemon in the sums, and returns whether the number of waiting requests
// changed.
func (aggregator *aggregator) add(report mesh.Report, now time.Time) bool {
	known := aggregator.reports[report.Name]
	changed := false
	if known.demands == nil {
		known.demands = make(map[demand.Key]demand.KeyDemand, len(report.Demand))
	}
	listed := make(map[demand.Key]bool, len(report.Demand))
	for _, keyDemand := range report.Demand {
		previous, ok := known.demands[keyDemand.Key]
		if ok {
			aggregator.serviceTotals(keyDemand.Service).addDemand(report.Name, previous, removed)
		}
		changed = changed || previous.Waiting != keyDemand.Waiting
		aggregator.serviceTotals(keyDemand.Service).addDemand(report.Name, keyDemand, added)
		known.demands[keyDemand.Key] = keyDemand
		listed[keyDemand.Key] = true
	}
	if !report.Partial {
		aggregator.removeUnlisted(report.Name, known.demands, listed)
		aggregator.addInFlight(known.inFlight, removed)
		aggregator.addInFlight(report.InFlight, added)
		known.inFlight = report.InFlight
	}
	for replica, observed := range report.Paces {
		aggregator.paces.Add(replica, &observed, aggregator.inFlight[replica].Running, now)
	}
	known.receivedAt = now
	aggregator.reports[report.Name] = known
	aggregator.setWaiting(report.Name, known.waiting())
	return changed
}

// setWaiting records whether requests of the daemon wait for a model or adapter.
func (aggregator *aggregator) setWaiting(daemon string, waiting bool) {
	if waiting {
		aggregator.waiting[daemon] = true
		return
	}
	delete(aggregator.waiting, daemon)
}

// removeUnlisted removes the demands that a full report no longer lists.
func (aggregator *aggregator) removeUnlisted(daemon string, demands map[demand.Key]demand.KeyDemand, listed map[demand.Key]bool) {
	for key, keyDemand := range demands {
		if !listed[key] {
			aggregator.serviceTotals(key.Service).addDemand(daemon, keyDemand, removed)
			delete(demands, key)
		}
	}
}

// addInFlight adds the requests in flight of one report to the sums, or removes them.
func (aggregator *aggregator) addInFlight(inFlight mesh.InFlightCounts, sign int) {
	for key, count := range inFlight {
		if key.Model != "" {
			aggregator.serviceTotals(key.Service).addInFlight(key, count.Running, sign)
		}
		sum := aggregator.inFlight[key.Incarnation]
		if sign == removed {
			sum = sum.Minus(count)
		} else {
			sum = sum.Plus(count)
		}
		if sum == (demand.InFlight{}) {
			delete(aggregator.inFlight, key.Incarnation)
			continue
		}
		aggregator.inFlight[key.Incarnation] = sum
	}
}

// serviceTotals returns the total demand for the service, and creates it if needed.
func (aggregator *aggregator) serviceTotals(service string) *totals {
	sum, ok := aggregator.services[service]
	if !ok {
		sum = newTotals()
		aggregator.services[service] = sum
	}
	return sum
}

// expire removes the reports of daemons that have not reported within the time to live.
func (aggregator *aggregator) expire(now time.Time) {
	ttl := reportTTL + time.Duration(len(aggregator.reports))*reportTTLPerDaemon
	for daemon, known := range aggregator.reports {
		if now.Sub(known.receivedAt) <= ttl {
			continue
		}
		for _, keyDemand := range known.demands {
			aggregator.serviceTotals(keyDemand.Service).addDemand(daemon, keyDemand, removed)
		}
		aggregator.addInFlight(known.inFlight, removed)
		delete(aggregator.reports, daemon)
		delete(aggregator.waiting, daemon)
	}
}

// speed returns the speed of the replica relative to the mean of its service; one if it is not known to differ.
func (aggregator *aggregator) speed(replica topology.Incarnation, now time.Time) float64 {
	return aggregator.paces.Values(now)[replica].RelativeSpeed()
}

// inFlightOfOthers returns the requests in flight of all daemons except the named one, by replica.
func (aggregator *aggregator) inFlightOfOthers(except string) map[topology.Incarnation]demand.InFlight {
	sum := maps.Clone(aggregator.inFlight)
	for key, count := range aggregator.reports[except].inFlight {
		sum[key.Incarnation] = sum[key.Incarnation].Minus(count)
		if sum[key.Incarnation] == (demand.InFlight{}) {
			delete(sum, key.Incarnation)
		}
	}
	return sum
}
