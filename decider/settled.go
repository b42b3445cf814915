package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// subject is the verb and the replica of an order.
type subject struct {
	verb upstream.Verb
	key  intent.ReplicaKey
}

// recordSettled records that an engine refused an order or did one other than a load. Views from
// before that time do not show its effect, so the same decision waits for a newer view.
func (term *term) recordSettled(result attemptResult, now time.Time) {
	key := intent.ReplicaKey{Upstream: result.upstream, Model: result.order.Model, Version: result.order.Version}
	term.settled[subject{result.order.Verb, key}] = now
}

// dropSettled removes the decisions whose last order was refused or done since the newest view
// of the engine was made.
func (term *term) dropSettled(decisions []placement.Decision) []placement.Decision {
	for target, at := range term.settled {
		if view, known := term.tracker.View(target.key.Upstream); !known || view.AsOf.After(at) {
			delete(term.settled, target)
		}
	}
	kept := decisions[:0]
	for _, decision := range decisions {
		key := intent.ReplicaKey{Upstream: decision.Upstream, Model: decision.Model, Version: decision.Version}
		if _, settled := term.settled[subject{decision.Verb, key}]; !settled {
			kept = append(kept, decision)
		}
	}
	return kept
}
