package dispatch

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// Snapshot is what can serve a target now.
type Snapshot struct {
	// Local are the candidates of this data centre.
	Local []route.Candidate
	// Remote are the candidates of other data centres that can be reached.
	Remote []route.Candidate
	// AdapterVersion is the version in force of the adapter of the target, or empty without one.
	AdapterVersion string
	// Changed is closed when a candidate appears, leaves or is found to be leaving.
	Changed <-chan struct{}
}

// Fleet tells what can serve a request. Its methods do not block and are cheap;
// the slices they return never change.
type Fleet interface {
	// Replicas returns the ready replicas of the version in force, or of the previous one while the
	// new one is not ready. An unknown or withdrawn target gives an *outcome.Error.
	Replicas(target catalogue.Target) (Snapshot, error)
	// Service returns the upstreams of a plain service. An unknown one gives an *outcome.Error.
	Service(name string) (Snapshot, error)
}

// Engines gives access to the model engines.
type Engines interface {
	// Generator returns the generator of the upstream, or false if the upstream is unknown.
	Generator(name string) (upstream.Generator, bool)
	// Engine returns the order side of the upstream, or false if the upstream is unknown.
	Engine(name string) (upstream.Engine, bool)
}
