package decider

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/enginefake"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

const (
	gigabyte = int64(1) << 30
	step     = 100 * time.Millisecond
)

// kind is a kind of engines, by the checks that they make.
type kind struct {
	name                      string
	checksFencing, checksBoot bool
}

// fencesReliably reports whether a higher fencing number makes the engine reject older orders
// for good.
func (kind kind) fencesReliably() bool {
	return kind.checksFencing && kind.checksBoot
}

var kinds = []kind{
	{"checks fencing and boot", true, true},
	{"checks fencing only", true, false},
	{"checks nothing", false, false},
}

// cluster is one simulated data centre with engines and processes under one clock.
type cluster struct {
	t testing.TB
	// clock is the clock of all parts; fake is the same clock unless a synctest bubble provides
	// the time.
	clock     clock.Clock
	fake      *testingclock.FakeClock
	platform  *platformfake.Platform
	engines   []*enginefake.Engine
	byName    map[string]*enginefake.Engine
	kind      kind
	models    map[string]catalogue.Model
	names     []string
	wanted    map[string]int
	processes []*process
	vms       []datastore.VM
	broken    int64
	// budgetShare is the setting of the deciders.
	budgetShare float64
	// ranked gives each process its position as rank.
	ranked bool
}

// process is the lease and decider of one daemon.
type process struct {
	cluster *cluster
	name    string
	client  *platformfake.Client
	lease   *lease.Lease
	decider *Decider
	// views is guarded by mutex, since polling and deciding may run at the same time.
	mutex sync.Mutex
	views map[string]intent.View
	// paused processes do nothing.
	paused  bool
	renewed time.Time
}

func newCluster(t testing.TB, kind kind, engines int, capacity int64) *cluster {
	fake := testingclock.NewFakeClock(time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC))
	cluster := newClusterAt(t, fake, kind, engines, capacity)
	cluster.fake = fake
	return cluster
}

// newClusterAt returns a cluster under any clock.
func newClusterAt(t testing.TB, clock clock.Clock, kind kind, engines int, capacity int64) *cluster {
	cluster := &cluster{
		t:      t,
		clock:  clock,
		kind:   kind,
		byName: map[string]*enginefake.Engine{},
		models: map[string]catalogue.Model{},
		wanted: map[string]int{},
		broken: invariant.Violations(),
	}
	cluster.platform = platformfake.New(cluster.clock, rand.New(rand.NewPCG(1, 2)))
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		engine := enginefake.New(cluster.clock, enginefake.Settings{
			Name: name, Capacity: capacity, ChecksFencing: kind.checksFencing, ChecksBoot: kind.checksBoot,
			LoadTime: 2 * time.Second, UnloadTime: 500 * time.Millisecond, OnLoad: cluster.checkLoad,
		})
		cluster.engines = append(cluster.engines, engine)
		cluster.byName[name] = engine
	}
	return cluster
}

func (cluster *cluster) addModel(model catalogue.Model) {
	if _, known := cluster.models[model.Name]; !known {
		cluster.names = append(cluster.names, model.Name)
	}
	cluster.models[model.Name] = model
}

// Model implements Catalogue.
func (cluster *cluster) Model(name string) (catalogue.Model, bool) {
	model, ok := cluster.models[name]
	return model, ok
}

// Names implements Catalogue.
func (cluster *cluster) Names() []string { return cluster.names }

// Wanted implements WarmPolicy.
func (cluster *cluster) Wanted(model string, _ time.Time) int { return cluster.wanted[model] }

func (cluster *cluster) start(name string) *process {
	return cluster.startProcess(name, "1")
}

// startProcess starts a process on a VM that may have run an older one.
func (cluster *cluster) startProcess(name, incarnation string) *process {
	started := &process{cluster: cluster, name: name, client: cluster.platform.Client(), views: map[string]intent.View{}}
	vm := datastore.VM{Name: name, Incarnation: name + "-vm", DataCentre: "fukuoka", Role: datastore.Entry}
	if incarnation == "1" {
		cluster.vms = append(cluster.vms, vm)
	}
	cluster.platform.SetVMs(cluster.vms...)
	rank := 0
	if cluster.ranked {
		rank = len(cluster.processes)
	}
	holder := lease.Holder{Name: name, Incarnation: name + "-process-" + incarnation, DataCentre: "fukuoka"}
	started.lease = lease.New(started.client, lease.Settings{
		DataCentre: "fukuoka", Rank: func() int { return rank },
	}, cluster.clock, holder)
	started.decider = New(Deps{
		Tables: started.client, VMs: started.client, Lease: started.lease, Fleet: started, Engines: started,
		Catalogue: func() Catalogue { return cluster }, WarmPolicy: cluster, Clock: cluster.clock,
	}, Settings{
		DataCentre: "fukuoka", DataCentres: []string{"fukuoka", "kumamoto", "kagoshima"},
		Sender:      intent.Sender{VM: name, VMIncarnation: vm.Incarnation, Process: holder.Incarnation},
		LoadsAtOnce: 4, LoadsPerSecond: 2.6, BudgetShare: cluster.budgetShare,
	})
	cluster.processes = append(cluster.processes, started)
	return started
}

// Views implements Fleet.
func (process *process) Views() []intent.View {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	views := make([]intent.View, 0, len(process.views))
	for name := range process.cluster.byName {
		view := process.views[name]
		view.State.Upstream = name
		views = append(views, view)
	}
	return views
}

// Changed implements Fleet.
func (process *process) Changed() <-chan struct{} { return nil }

// Engine implements Engines.
func (process *process) Engine(name string) (upstream.Engine, bool) {
	engine, ok := process.cluster.byName[name]
	return engine, ok
}

// pollEngines requests the state of every engine.
func (process *process) pollEngines() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	queriedAt := process.cluster.clock.Now()
	for name, engine := range process.cluster.byName {
		state, err := engine.State(context.Background())
		if err == nil {
			process.views[name] = intent.View{State: state, AsOf: queriedAt, ChecksFencing: process.cluster.kind.checksFencing, ChecksBoot: process.cluster.kind.checksBoot}
		}
	}
}

// run performs what is due in one step of the clock.
func (process *process) run() {
	if process.paused {
		return
	}
	if process.cluster.clock.Since(process.renewed) >= process.renewInterval() {
		process.renewed = process.cluster.clock.Now()
		_ = process.lease.Step(context.Background())
	}
	process.pollEngines()
	_ = process.decider.Step(context.Background())
	process.decider.attempts.Wait()
	process.decider.handleResults()
}

func (process *process) renewInterval() time.Duration { return 3 * time.Second }

// advance lets time pass in steps.
func (cluster *cluster) advance(duration time.Duration) {
	cluster.t.Helper()
	for passed := time.Duration(0); passed < duration; passed += step {
		cluster.fake.Step(step)
		for _, process := range cluster.processes {
			process.run()
		}
		cluster.checkState()
	}
}

// checkState compares the engines' own accounts with what is allowed.
func (cluster *cluster) checkState() {
	cluster.t.Helper()
	for _, engine := range cluster.engines {
		if count := engine.Overcommits(); count > 0 {
			cluster.t.Fatalf("%d loads overcommitted memory\n%s", count, cluster.dump())
		}
	}
	for name := range cluster.models {
		if loaded, limit := cluster.loaded(name), max(1, cluster.models[name].MaxReplicas); loaded > limit {
			cluster.t.Fatalf("%d replicas of %s are loaded, %d were decided\n%s", loaded, name, limit, cluster.dump())
		}
	}
	for _, process := range cluster.processes {
		cluster.checkRecords(process)
	}
	if broken := invariant.Violations() - cluster.broken; broken > 0 {
		cluster.t.Fatalf("%d invariants are broken\n%s", broken, cluster.dump())
	}
}

func (cluster *cluster) loaded(model string) int {
	total := 0
	for _, engine := range cluster.engines {
		total += engine.LoadedReplicas(model, cluster.models[model].Version)
	}
	return total
}

// reportDemand reports waiting requests of several routers to every process.
func (cluster *cluster) reportDemand(model string, routers, waiting int) {
	for _, process := range cluster.processes {
		for router := range routers {
			process.decider.Report(fmt.Sprintf("%s-router-%d", model, router), []placement.Demand{{
				Model: model, Waiting: waiting, Oldest: cluster.clock.Now().Add(30 * time.Second),
			}})
		}
	}
}
