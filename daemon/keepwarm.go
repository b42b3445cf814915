package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/keepwarm"
	"github.com/bronzestall/bronzestall/learner"
)

const (
	// keepWarmInterval is the interval at which the learner is adapted to the catalogue and the lease.
	keepWarmInterval = 2 * time.Second
	// acceleratorBytes is the memory of one accelerator in bytes.
	acceleratorBytes = 80 << 30
)

// keepWarm runs the keep-warm policy of one data centre. Only the decider of the data centre has a learner;
// a new decider starts with the statistics that its predecessors saved.
type keepWarm struct {
	clock    clock.WithTicker
	state    inForce
	store    *learner.Store
	settings learner.Settings
	loads    *loadTimes
	// decides reports whether this daemon is the decider of the data centre.
	decides func() bool

	mutex sync.Mutex
	// learner is nil while this daemon is not the decider.
	learner *learner.Learner
	// described are the models whose properties the learner has, from the catalogue with this number.
	described map[string]bool
	number    uint64
}

// Observe adds arrivals of a model to the statistics. It ignores models that are not in force.
func (keepWarm *keepWarm) Observe(target catalogue.Target, arrived int) {
	active, described := keepWarm.learnerOf(target.Model)
	if described && arrived > 0 {
		active.Observe(target.Model, arrived)
	}
}

// Wanted returns the number of replicas of the model to keep loaded now. It is zero if the model is not in force
// or this daemon is not the decider.
func (keepWarm *keepWarm) Wanted(model string, now time.Time) int {
	active, described := keepWarm.learnerOf(model)
	if !described {
		return 0
	}
	return active.Wanted(model, now)
}

// learnerOf returns the learner and whether it has the properties of the model.
func (keepWarm *keepWarm) learnerOf(model string) (*learner.Learner, bool) {
	keepWarm.mutex.Lock()
	defer keepWarm.mutex.Unlock()
	return keepWarm.learner, keepWarm.learner != nil && keepWarm.described[model]
}

// run runs a learner whenever this daemon is the decider, until ctx ends.
func (keepWarm *keepWarm) run(ctx context.Context) error {
	return every(ctx, keepWarm.clock, keepWarmInterval, func(ctx context.Context) {
		if keepWarm.decides() {
			keepWarm.runLearner(ctx)
		}
	})
}

// runLearner runs one learner until ctx ends or this daemon is no longer the decider.
func (keepWarm *keepWarm) runLearner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	active := learner.New(keepWarm.settings, keepWarm.store, keepWarm.clock)
	keepWarm.set(active)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = active.Run(ctx)
	}()
	_ = every(ctx, keepWarm.clock, keepWarmInterval, func(context.Context) {
		keepWarm.describe()
		if !keepWarm.decides() {
			cancel()
		}
	})
	keepWarm.set(nil)
	cancel()
	<-ended
}

func (keepWarm *keepWarm) set(active *learner.Learner) {
	keepWarm.mutex.Lock()
	defer keepWarm.mutex.Unlock()
	keepWarm.learner = active
	keepWarm.described = map[string]bool{}
	keepWarm.number = 0
}

// describe passes the properties of the models in force on to the learner and removes withdrawn models from it.
// It does nothing if the number has not changed.
func (keepWarm *keepWarm) describe() {
	current, number, ok := keepWarm.state()
	keepWarm.mutex.Lock()
	defer keepWarm.mutex.Unlock()
	if !ok || number == keepWarm.number && len(keepWarm.described) > 0 {
		return
	}
	previous := keepWarm.described
	keepWarm.described = map[string]bool{}
	for model := range current.Models() {
		keepWarm.learner.Describe(model.Name, keepWarm.properties(model))
		keepWarm.described[model.Name] = true
		delete(previous, model.Name)
	}
	for model := range previous {
		keepWarm.learner.Forget(model)
	}
	keepWarm.number = number
}

// properties returns what the policy needs to know of a model.
func (keepWarm *keepWarm) properties(model catalogue.Model) keepwarm.Properties {
	return keepwarm.Properties{
		Accelerators: max(1, float64(model.Memory())/acceleratorBytes),
		ColdStart:    keepWarm.loads.expectRemote(model.Weights),
		Concurrency:  model.Concurrency,
		MaxReplicas:  model.MaxReplicas,
	}
}
