package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// guardOfNobody always holds.
var guardOfNobody = datastore.Write{Key: datastore.Key{Table: "None", Row: "none"}, Check: true, Only: true}

// leave writes a row as a former holder would have left it.
func (world *world) leave(model, upstreamName string, fence uint64) {
	sender := intent.Sender{VM: "entry-0", VMIncarnation: "entry-0-vm", Process: "entry-0-process", Reign: fence}
	row := intent.Intent{
		ID: fmt.Sprintf("left-%s-%s", model, upstreamName), Upstream: upstreamName, BootID: upstreamName + "-boot-1",
		Verb: upstream.Load, Model: model, Version: "1", Memory: world.models[model].Memory(), Fence: fence, Sender: sender,
	}
	log := intent.NewStore(world.platform.Client(), "fukuoka")
	if err := log.Commit(world.t.Context(), guardOfNobody, intent.Change{NewIntents: []intent.Intent{row}}); err != nil {
		world.t.Fatal(err)
	}
}

// TestSuccessorSendsOneOfSeveralRows finds two open rows for a model with one replica.
func TestSuccessorSendsOneOfSeveralRows(t *testing.T) {
	world := newWorld(t, kinds[2], 2, 64*gigabyte)
	world.addModel(roundPlanner())
	world.leave("planner", "engine-0", 1)
	world.leave("planner", "engine-1", 1)
	world.start("entry-1")
	if !world.askFor("planner", 100) {
		t.Fatal("not loaded")
	}
	world.advance(5 * time.Second)
}

// TestRowOnUnseenEngineCounts finds a row on an engine that the successor has never reached.
func TestRowOnUnseenEngineCounts(t *testing.T) {
	for _, kind := range kinds {
		world := newWorld(t, kind, 2, 64*gigabyte)
		world.addModel(roundPlanner())
		world.leave("planner", "engine-1", 1)
		order := upstream.Order{ID: "left", Verb: upstream.Load, Model: "planner", Version: "1", Memory: 1, Fence: 1, BootID: "engine-1-boot-1"}
		world.byName["engine-1"].DeliverOrder(order)
		world.byName["engine-1"].SetUnreachable(true)
		world.start("entry-1")
		for range 100 {
			world.ask("planner", 1, 5)
			world.advance(step)
		}
		if loads := len(world.byName["engine-0"].Orders(upstream.Load)); loads > 0 {
			t.Errorf("%s: loaded a second time", kind.name)
		}
	}
}

// TestOldStateIsNotAdopted gives a new holder a state of an engine from before it read the rows.
func TestOldStateIsNotAdopted(t *testing.T) {
	world := newWorld(t, kinds[2], 1, 64*gigabyte)
	world.addModel(roundPlanner())
	engine := world.engines[0]
	world.leave("planner", "engine-0", 1)
	engine.DeliverOrder(upstream.Order{ID: "old", Verb: upstream.Load, Model: "planner", Version: "1", Memory: 20 * gigabyte, Fence: 1})
	holder := world.start("entry-1")
	holder.look()
	closed := intent.Change{RemovedIDs: []string{"left-planner-engine-0"}}
	if err := intent.NewStore(world.platform.Client(), "fukuoka").Commit(t.Context(), guardOfNobody, closed); err != nil {
		t.Fatal(err)
	}
	engine.Restart()
	engine.SetUnreachable(true)
	world.advance(2 * time.Second)
	world.kill(holder)
	engine.SetUnreachable(false)
	world.start("entry-2")
	world.advance(15 * time.Second)
	rows, err := intent.NewStore(world.platform.Client(), "fukuoka").Intents(t.Context())
	if err != nil || len(rows) > 0 {
		t.Fatalf("rows %+v for a replica that is gone (%v)", rows, err)
	}
}
