package dispatch

import (
	"iter"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// Snapshot holds the candidates for a target at one point in time.
type Snapshot struct {
	// Local holds the candidates of this data centre.
	Local []route.Candidate
	// Remote holds the reachable candidates of other data centres.
	Remote []route.Candidate
	// AdapterVersion is the version in force of the adapter of the target, or empty without an adapter.
	AdapterVersion string
	// Changed is closed when a candidate appears, disappears or begins to leave.
	Changed <-chan struct{}
}

// all iterates over the candidates of all data centres.
func (snapshot Snapshot) all() iter.Seq[*route.Candidate] {
	return func(yield func(*route.Candidate) bool) {
		for _, candidates := range [][]route.Candidate{snapshot.Local, snapshot.Remote} {
			for index := range candidates {
				if !yield(&candidates[index]) {
					return
				}
			}
		}
	}
}

// find returns the candidate with the upstream name.
func (snapshot Snapshot) find(name string) (route.Candidate, bool) {
	for candidate := range snapshot.all() {
		if candidate.Upstream == name {
			return *candidate, true
		}
	}
	return route.Candidate{}, false
}

// isOnlyCandidate reports whether there is no candidate on another upstream.
func (snapshot Snapshot) isOnlyCandidate(name string) bool {
	for candidate := range snapshot.all() {
		if candidate.Upstream != name {
			return false
		}
	}
	return true
}

// hasOrigin reports whether a candidate has the version and the release of the requirements.
func (snapshot Snapshot) hasOrigin(requirements route.Requirements) bool {
	for candidate := range snapshot.all() {
		if candidate.Version == requirements.Version && (requirements.Release == "" || candidate.Release == requirements.Release) {
			return true
		}
	}
	return false
}

// Fleet returns the candidates for a request. Its methods are cheap and do not block; the slices they return
// never change.
type Fleet interface {
	// Replicas returns the ready replicas of the version in force, or those of the previous version while the
	// new one is not ready. An unknown or withdrawn target gives an *outcome.Error.
	Replicas(target catalogue.Target) (Snapshot, error)
	// Service returns the upstreams of a plain service. An unknown service gives an *outcome.Error.
	Service(name string) (Snapshot, error)
}

// Engines gives access to the model engines.
type Engines interface {
	// Generator returns the generator of the upstream, or false if the upstream is unknown.
	Generator(name string) (upstream.Generator, bool)
	// Engine returns the order interface of the upstream, or false if the upstream is unknown.
	Engine(name string) (upstream.Engine, bool)
}
