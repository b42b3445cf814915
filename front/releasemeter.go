package front

import (
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/rollout"
	"github.com/bronzestall/bronzestall/topology"
)

// maxReleaseSeries is the largest number of releases that the metrics name. Those beyond, and replicas that name none, are counted as
// otherReleases of their service.
const (
	maxReleaseSeries = 128
	otherReleases    = "other"
)

// releaseMeter shows the replicas of all releases. It is not safe for concurrent use.
type releaseMeter struct {
	// named holds the subjects shown so far.
	named map[string]bool
}

// update sets the metric to the number of replicas by service and release.
func (shown *releaseMeter) update(metrics *meter.Meter, accepting map[string]map[string]int) {
	sums := map[string]int{}
	for service, releases := range accepting {
		for release, count := range releases {
			sums[shown.subject(service, release)] += count
		}
	}
	for subject := range shown.named {
		metrics.Set(meter.ReplicasByRelease, meter.Labels{Subject: subject}, int64(sums[subject]))
	}
}

// subject returns the name under which the release is shown.
func (shown *releaseMeter) subject(service, release string) string {
	subject := service + "/" + release
	if !shown.named[subject] && (!topology.IsReleaseName(release) || len(shown.named) >= maxReleaseSeries) {
		subject = service + "/" + otherReleases
	}
	if shown.named == nil {
		shown.named = map[string]bool{}
	}
	shown.named[subject] = true
	return subject
}

// logShifts logs the releases that gained or lost replicas.
func logShifts(shifts []rollout.Shift) {
	for _, shift := range shifts {
		event.ReleaseShifted.Log("Service", shift.Service, "Release", shift.Release, "Before", shift.Before, "Accepting", shift.Accepting, "Leaves", shift.Leaves)
	}
}
