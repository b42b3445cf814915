package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// size is the number of daemons, engines and models of a deployment.
type size struct{ daemons, engines, models int }

// sizes lists the deployments that are benchmarked.
var sizes = []size{{30, 90, 274}, {118, 160, 572}, {363, 600, 1900}}

// String returns the size as a benchmark name.
func (size size) String() string {
	return fmt.Sprintf("Daemons=%d/Engines=%d/Models=%d", size.daemons, size.engines, size.models)
}

// The number of entries in the report of one daemon.
const (
	benchDemands     = 60
	benchReplicaKeys = 15
)

// report returns the full report of a daemon.
func (size size) report(daemon int, now time.Time) mesh.Report {
	report := mesh.Report{Name: fmt.Sprintf("d%d", daemon), InFlight: mesh.InFlightCounts{}}
	for index := range benchDemands {
		key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", (daemon+index*7)%size.models)}
		report.Demand = append(report.Demand, demand.KeyDemand{Key: key, Rate: 0.1, Tokens: 100, Target: time.Second, LastArrival: now})
	}
	for index := range benchReplicaKeys {
		engine := (daemon*5 + index*11) % size.engines
		key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", engine*3%size.models)}
		replicaKey := demand.ReplicaKey{Incarnation: topology.Incarnation{ID: fmt.Sprintf("e%d", engine), Started: 1}, Key: key}
		report.InFlight[replicaKey] = demand.InFlight{Running: 1}
	}
	return report
}

// holder returns a scheduler that holds the lease and has a report of every daemon and the holding of every
// engine.
func (size size) holder(b *testing.B) *Scheduler {
	granted := &fakeLease{}
	granted.grant(1, time.Hour)
	holder := New(Settings{Name: "a"}, Deps{
		Lease: granted, Engines: &fakeEngine{}, Clock: clock.RealClock{},
		Loadings: func() map[topology.Incarnation]directory.Loading { return nil },
	})
	models := map[string]topology.Model{}
	for index := range size.models {
		name := fmt.Sprintf("m%d", index)
		models[name] = topology.Model{Name: name, Weights: 50, StoreLoad: 10 * time.Second, DiskLoad: time.Second, HostLoad: time.Second}
	}
	var replicas []topology.Replica
	for index := range size.engines {
		var holding topology.Holding
		for slot := range 4 {
			name := fmt.Sprintf("m%d", (index*3+slot)%size.models)
			holding.OnDisk = append(holding.OnDisk, name)
			if slot < 3 {
				holding.Models = append(holding.Models, topology.LoadedModel{Model: name})
			}
		}
		replicas = append(replicas, topology.Replica{
			Incarnation: topology.Incarnation{ID: fmt.Sprintf("e%d", index), Started: 1}, Service: "s",
			Zone: fmt.Sprintf("z%d", index%5), Holding: holding, ReceivedAt: time.Now(),
		})
	}
	holder.Update(&topology.Configuration{Version: 1, Services: map[string]topology.Service{
		"s": {Name: "s", Engine: &topology.EngineSpec{Slots: 24, Memory: 200, LoadsPerSecond: 4, Models: models}},
	}}, replicas)
	for daemon := range size.daemons {
		if _, err := holder.Sync(context.Background(), size.report(daemon, time.Now())); err != nil {
			b.Fatal(err)
		}
	}
	holder.Step(context.Background())
	for _, engine := range holder.engines {
		engine.callInFlight, engine.uncertain, engine.queryAt = false, false, time.Time{}
	}
	return holder
}

// BenchmarkReport measures Sync with the full report of one daemon.
func BenchmarkReport(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) {
			holder := size.holder(b)
			report := size.report(1, time.Now())
			for b.Loop() {
				if _, err := holder.Sync(context.Background(), report); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkStep measures a step that sends no order.
func BenchmarkStep(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) {
			holder := size.holder(b)
			holder.planner = residency.New(residency.Settings{StoreLoadsAtOnce: -1})
			for b.Loop() {
				holder.Step(context.Background())
			}
		})
	}
}
