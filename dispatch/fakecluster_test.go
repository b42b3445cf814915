package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// fakeCluster implements Fleet, Engines and Demand with fake engines.
type fakeCluster struct {
	mutex    sync.Mutex
	engines  map[string]*fakeEngine
	order    []string
	changed  chan struct{}
	forecast Forecast
	// remote names the engines of another data centre.
	remote      map[string]bool
	forecastErr error
	demands     map[string]DemandReport
}

func newCluster(names ...string) *fakeCluster {
	cluster := &fakeCluster{engines: map[string]*fakeEngine{}, changed: make(chan struct{}), demands: map[string]DemandReport{}}
	for _, name := range names {
		cluster.add(name)
	}
	return cluster
}

func (cluster *fakeCluster) add(name string) *fakeEngine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine := &fakeEngine{name: name, boot: name + "/1", slots: 4, pieces: 3, version: "v1", release: "r1", gap: 10 * time.Millisecond, runs: map[string]int{}}
	engine.loadTime = 5 * time.Millisecond
	engine.chaosFields = chaosFields{ids: map[string]int{}, nonIdempotentRuns: map[string]int{}, restartDelay: time.Hour}
	cluster.engines[name] = engine
	cluster.order = append(cluster.order, name)
	close(cluster.changed)
	cluster.changed = make(chan struct{})
	return engine
}

func (cluster *fakeCluster) dispatcher(settings Settings) *Dispatcher {
	return New(settings, Deps{Fleet: cluster, Engines: cluster, Demand: cluster}, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
}

func (cluster *fakeCluster) Replicas(catalogue.Target) (Snapshot, error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	snapshot := Snapshot{Changed: cluster.changed}
	for _, name := range cluster.order {
		if cluster.remote[name] {
			snapshot.Remote = append(snapshot.Remote, cluster.engines[name].candidate())
			continue
		}
		snapshot.Local = append(snapshot.Local, cluster.engines[name].candidate())
	}
	return snapshot, nil
}

func (cluster *fakeCluster) Service(string) (Snapshot, error) {
	return cluster.Replicas(catalogue.Target{})
}

func (cluster *fakeCluster) Generator(name string) (upstream.Generator, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine, ok := cluster.engines[name]
	return engine, ok
}

func (cluster *fakeCluster) Engine(name string) (upstream.Engine, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine, ok := cluster.engines[name]
	return engine, ok
}

func (cluster *fakeCluster) Report(demand DemandReport) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.demands[demand.Target.String()] = demand
}

func (cluster *fakeCluster) demand(model string) DemandReport {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.demands[model]
}

func (cluster *fakeCluster) Forecast(string) (Forecast, error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.forecast, cluster.forecastErr
}
