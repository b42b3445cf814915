package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bookstore"
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/keepwarm"
)

const (
	// warmthEvery is the interval at which the keeper follows the catalogue and the lease.
	warmthEvery = 2 * time.Second
	// acceleratorBytes is the memory of one accelerator in bytes.
	acceleratorBytes = 80 << 30
)

// warmth holds the keep-warm policy of one data centre. Only the daemon that decides there learns;
// a new one begins with what its predecessors saved.
type warmth struct {
	clock    clock.WithTicker
	state    inForce
	store    *bookstore.Store
	settings bookstore.Settings
	loads    *loadTimes
	// decides reports whether this daemon decides for the data centre.
	decides func() bool

	mutex sync.Mutex
	// keeper is nil while this daemon does not decide.
	keeper *bookstore.Learner
	// described are the models that the keeper knows the traits of, for the number in force.
	described map[string]bool
	number    uint64
}

// Observe adds arrivals of a model.
func (warmth *warmth) Observe(target catalogue.Target, arrived int) {
	keeper, known := warmth.keeperOf(target.Model)
	if known && arrived > 0 {
		keeper.Observe(target.Model, arrived)
	}
}

// Wanted returns the number of replicas of the model to keep loaded now.
func (warmth *warmth) Wanted(model string, now time.Time) int {
	keeper, known := warmth.keeperOf(model)
	if !known {
		return 0
	}
	return keeper.Wanted(model, now)
}

// keeperOf returns the keeper if it knows the model.
func (warmth *warmth) keeperOf(model string) (*bookstore.Learner, bool) {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	return warmth.keeper, warmth.keeper != nil && warmth.described[model]
}

// run keeps a keeper while this daemon decides.
func (warmth *warmth) run(ctx context.Context) error {
	return every(ctx, warmth.clock, warmthEvery, func(ctx context.Context) {
		if warmth.decides() {
			warmth.reign(ctx)
		}
	})
}

// reign runs one keeper until this daemon no longer decides.
func (warmth *warmth) reign(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	keeper := bookstore.NewLearner(warmth.settings, warmth.store, warmth.clock)
	warmth.set(keeper)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = keeper.Run(ctx)
	}()
	_ = every(ctx, warmth.clock, warmthEvery, func(context.Context) {
		warmth.describe()
		if !warmth.decides() {
			cancel()
		}
	})
	warmth.set(nil)
	cancel()
	<-ended
}

func (warmth *warmth) set(keeper *bookstore.Learner) {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	warmth.keeper = keeper
	warmth.described = map[string]bool{}
	warmth.number = 0
}

// describe gives the keeper the traits of the models in force.
func (warmth *warmth) describe() {
	known, number, ok := warmth.state()
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	if !ok || number == warmth.number && len(warmth.described) > 0 {
		return
	}
	former := warmth.described
	warmth.described = map[string]bool{}
	for model := range known.Models() {
		warmth.keeper.Describe(model.Name, warmth.traits(model))
		warmth.described[model.Name] = true
		delete(former, model.Name)
	}
	for model := range former {
		warmth.keeper.Forget(model)
	}
	warmth.number = number
}

func (warmth *warmth) traits(model catalogue.Model) keepwarm.Properties {
	return keepwarm.Properties{
		Accelerators: max(1, float64(model.Memory())/acceleratorBytes),
		ColdStart:    warmth.loads.remote(model.Weights),
		Concurrency:  model.Concurrency,
		MaxReplicas:  model.MaxReplicas,
	}
}
