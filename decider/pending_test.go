package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestRowOfAnUnclearChangeIsNotUsedAgain loses the answer to a change that closes the row of a gone
// replica. Without the table service the replica may be loaded again only where a row stands for it
// whether or not the change took effect.
func TestRowOfAnUnclearChangeIsNotUsedAgain(t *testing.T) {
	for _, test := range []struct {
		name     string
		pending  *intent.Change
		upstream string
	}{
		{"no change", nil, "engine-1"},
		{"closed", &intent.Change{RemovedIDs: []string{"loaded"}}, ""},
		{"moved", &intent.Change{RemovedIDs: []string{"loaded"}, NewIntents: []intent.Intent{load("again", "engine-2")}}, ""},
		{"replaced", &intent.Change{RemovedIDs: []string{"loaded"}, NewIntents: []intent.Intent{load("again", "engine-1")}}, "engine-1"},
		{"other row closed", &intent.Change{RemovedIDs: []string{"other"}}, "engine-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			book := intent.NewTracker(intent.Sender{}, time.Second)
			book.Add(load("loaded", "engine-1"), true, time.Time{})
			book.Abandon("loaded")
			holder := &reign{decider: &Decider{}, book: book, pending: test.pending}
			got := holder.assignedAway(catalogue.Model{Name: "planner", Version: "1", Weights: gigabyte})
			if !got.Restricted || got.Upstream != test.upstream {
				t.Errorf("assigned %+v, want %q", got, test.upstream)
			}
		})
	}
}

func load(id, name string) intent.Intent {
	return intent.Intent{ID: id, Upstream: name, Verb: upstream.Load, Model: "planner", Version: "1", Memory: gigabyte}
}
