package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// Fleet provides the states of the engines of the data centre.
type Fleet interface {
	// Views returns the newest state of every engine of the VM list. An engine whose state was
	// never received has a zero AsOf; one whose VM is not in the list is left out.
	Views() []intent.View
	// Changed is sent to, or closed, when a view has changed; a missed signal delays a step by
	// one interval.
	Changed() <-chan struct{}
}

// Engines gives access to engines by name.
type Engines interface {
	// Engine returns the engine, or false if its address is unknown.
	Engine(name string) (upstream.Engine, bool)
}

// Catalogue is the catalogue in force.
type Catalogue interface {
	placement.Models
	// Names returns the names of all models in force. The caller must not change the slice.
	Names() []string
}

// WarmPolicy determines which models are kept loaded without demand.
type WarmPolicy interface {
	// Wanted returns the number of replicas of the model to keep loaded now.
	Wanted(model string, now time.Time) int
}
