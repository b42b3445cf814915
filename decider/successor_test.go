package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// alwaysTrueGuard is a guard that never fails.
var alwaysTrueGuard = datastore.Write{Key: datastore.Key{Table: "None", Row: "none"}, Check: true, Only: true}

// writeFormerRow writes a row of a former holder that has ended.
func (cluster *cluster) writeFormerRow(model, upstreamName string, fence uint64) {
	sender := intent.Sender{VM: "entry-0", VMIncarnation: "entry-0-vm", Process: "entry-0-process", Reign: fence}
	row := intent.Intent{
		ID: fmt.Sprintf("left-%s-%s", model, upstreamName), Upstream: upstreamName, BootID: upstreamName + "-boot-1",
		Verb: upstream.Load, Model: model, Version: "1", Memory: cluster.models[model].Memory(), Fence: fence, Sender: sender,
	}
	log := intent.NewStore(cluster.platform.Client(), "fukuoka")
	if err := log.Commit(cluster.t.Context(), alwaysTrueGuard, intent.Change{NewIntents: []intent.Intent{row}}); err != nil {
		cluster.t.Fatal(err)
	}
}

// TestSuccessorSendsOneOfSeveralRows has two open rows for a model with one replica.
func TestSuccessorSendsOneOfSeveralRows(t *testing.T) {
	cluster := newCluster(t, kinds[2], 2, 64*gigabyte)
	cluster.addModel(plannerModel())
	cluster.writeFormerRow("planner", "engine-0", 1)
	cluster.writeFormerRow("planner", "engine-1", 1)
	cluster.start("entry-1")
	if !cluster.requestUntilReady("planner", 100) {
		t.Fatal("not loaded")
	}
	cluster.advance(5 * time.Second)
}

// TestRowOnUnseenEngineCounts has a row on an engine that the successor has never reached.
func TestRowOnUnseenEngineCounts(t *testing.T) {
	for _, kind := range kinds {
		cluster := newCluster(t, kind, 2, 64*gigabyte)
		cluster.addModel(plannerModel())
		cluster.writeFormerRow("planner", "engine-1", 1)
		order := upstream.Order{ID: "left", Verb: upstream.Load, Model: "planner", Version: "1", Memory: 1, Fence: 1, BootID: "engine-1-boot-1"}
		cluster.byName["engine-1"].DeliverOrder(order)
		cluster.byName["engine-1"].SetUnreachable(true)
		cluster.start("entry-1")
		for range 100 {
			cluster.reportDemand("planner", 1, 5)
			cluster.advance(step)
		}
		if loads := len(cluster.byName["engine-0"].SentOrders(upstream.Load)); loads > 0 {
			t.Errorf("%s: loaded a second time", kind.name)
		}
	}
}

// TestOldStateIsNotAdopted gives a new holder a state of an engine from before it read the rows.
func TestOldStateIsNotAdopted(t *testing.T) {
	cluster := newCluster(t, kinds[2], 1, 64*gigabyte)
	cluster.addModel(plannerModel())
	engine := cluster.engines[0]
	cluster.writeFormerRow("planner", "engine-0", 1)
	engine.DeliverOrder(upstream.Order{ID: "old", Verb: upstream.Load, Model: "planner", Version: "1", Memory: 20 * gigabyte, Fence: 1})
	holder := cluster.start("entry-1")
	holder.pollEngines()
	removal := intent.Change{RemovedIDs: []string{"left-planner-engine-0"}}
	if err := intent.NewStore(cluster.platform.Client(), "fukuoka").Commit(t.Context(), alwaysTrueGuard, removal); err != nil {
		t.Fatal(err)
	}
	engine.Restart()
	engine.SetUnreachable(true)
	cluster.advance(2 * time.Second)
	cluster.kill(holder)
	engine.SetUnreachable(false)
	cluster.start("entry-2")
	cluster.advance(15 * time.Second)
	rows, err := intent.NewStore(cluster.platform.Client(), "fukuoka").Intents(t.Context())
	if err != nil || len(rows) > 0 {
		t.Fatalf("rows %+v for a replica that is gone (%v)", rows, err)
	}
}
