package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// noEngines knows no engine.
type noEngines struct{}

func (noEngines) Engine(string) (upstream.Engine, bool) { return nil, false }

// TestUnsentTouchIsRepeatedAtOnce covers a fencing number that could not be sent to an engine: it must be sent at the next step, and
// not only after the interval of retries.
func TestUnsentTouchIsRepeatedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	self := intent.Sender{}
	tracker := intent.NewTracker(self, time.Minute)
	tracker.Observe(intent.View{AsOf: now, ChecksFencing: true, State: upstream.State{Upstream: "u", BootID: "boot", Fence: 7}})
	holder := &term{
		decider: &Decider{deps: Deps{Engines: noEngines{}}}, fence: 8, sender: self, now: now,
		tracker: tracker, seen: map[string]bool{"u": true}, touchedAt: map[string]time.Time{},
	}
	holder.touch(t.Context())
	if at, touched := holder.touchedAt["u"]; touched {
		t.Errorf("counts as sent at %v", at)
	}
}
