package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestRowOfAnUnclearChangeIsNotUsedAgain has an unresolved change that may have removed the row
// of a removed replica. During an outage the replica may be loaded again only where a row exists
// whether or not the change took effect.
func TestRowOfAnUnclearChangeIsNotUsedAgain(t *testing.T) {
	for _, test := range []struct {
		name     string
		pending  *intent.Change
		upstream string
	}{
		{"no change", nil, "engine-1"},
		{"removed", &intent.Change{RemovedIDs: []string{"loaded"}}, ""},
		{"moved", &intent.Change{RemovedIDs: []string{"loaded"}, NewIntents: []intent.Intent{load("again", "engine-2")}}, ""},
		{"replaced", &intent.Change{RemovedIDs: []string{"loaded"}, NewIntents: []intent.Intent{load("again", "engine-1")}}, "engine-1"},
		{"other row removed", &intent.Change{RemovedIDs: []string{"other"}}, "engine-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := intent.NewTracker(intent.Sender{}, time.Second)
			tracker.Add(load("loaded", "engine-1"), true, time.Time{})
			tracker.Abandon("loaded")
			holder := &term{decider: &Decider{}, tracker: tracker, pending: test.pending}
			got := holder.assignmentInOutage(catalogue.Model{Name: "planner", Version: "1", Weights: gigabyte})
			if !got.Restricted || got.Upstream != test.upstream {
				t.Errorf("assigned %+v, want %q", got, test.upstream)
			}
		})
	}
}

func load(id, name string) intent.Intent {
	return intent.Intent{ID: id, Upstream: name, Verb: upstream.Load, Model: "planner", Version: "1", Memory: gigabyte}
}
