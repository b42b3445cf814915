package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// subject is what an order is about.
type subject struct {
	verb upstream.Verb
	key  intent.ReplicaKey
}

// noteAnswer remembers that an engine refused an order or did one other than a load. What it showed before does not
// account for that, so the same decision waits for a newer view.
func (reign *reign) noteAnswer(got answer, now time.Time) {
	key := intent.ReplicaKey{Upstream: got.upstream, Model: got.order.Model, Version: got.order.Version}
	reign.settled[subject{got.order.Verb, key}] = now
}

// unsettled returns the decisions that no engine has answered since its newest view was made.
func (reign *reign) unsettled(decisions []placement.Decision) []placement.Decision {
	for about, at := range reign.settled {
		if view, known := reign.book.View(about.key.Upstream); !known || view.AsOf.After(at) {
			delete(reign.settled, about)
		}
	}
	kept := decisions[:0]
	for _, decision := range decisions {
		key := intent.ReplicaKey{Upstream: decision.Upstream, Model: decision.Model, Version: decision.Version}
		if _, settled := reign.settled[subject{decision.Verb, key}]; !settled {
			kept = append(kept, decision)
		}
	}
	return kept
}
