package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bookstore"
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/keepwarm"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	// warmthEvery is the interval at which the policy follows the catalogue and the lease, and at
	// which one part of the book is saved.
	warmthEvery = 5 * time.Second
	// assumedLoadRate is the rate in bytes a second by which the cost of a cold start is judged.
	assumedLoadRate = 1 << 30
	// acceleratorBytes is the memory of one accelerator in bytes.
	acceleratorBytes = 80 << 30
)

// warmth holds the keep-warm policy of one data centre. Only the daemon that decides there learns;
// a new one begins with what its predecessors saved.
type warmth struct {
	clock clock.Clock
	state inForce
	store *bookstore.Store
	// saver names this process in the stored book.
	saver   string
	weights keepwarm.Weights
	// decides reports whether this daemon decides for the data centre.
	decides func() bool

	mutex  sync.Mutex
	book   *keepwarm.Book
	policy keepwarm.Policy
	// wishes caches decisions until they may change. It has entries of models in force only.
	wishes map[string]wish
	// described are the models that the policy knows the traits of, for the number in force.
	described map[string]bool
	number    uint64
	// restored states that the book holds what predecessors saved.
	restored bool
	// pending is a change that is not saved yet, and part the next part to save.
	pending *keepwarm.Change
	part    int
}

// wish is a decision of the policy.
type wish struct {
	replicas int
	until    time.Time
}

func newWarmth(weights settings.KeepWarm, store *bookstore.Store, saver string, clock clock.Clock, state inForce) *warmth {
	made := &warmth{
		clock:   clock,
		state:   state,
		store:   store,
		saver:   saver,
		weights: keepwarm.Weights{ColdStart: weights.ColdStartWeight, IdleHour: weights.IdleHourWeight},
		decides: func() bool { return false },
	}
	made.begin()
	return made
}

// begin starts with an empty book.
func (warmth *warmth) begin() {
	warmth.book = keepwarm.NewBook(time.UTC)
	warmth.policy = keepwarm.NewLearnt(warmth.book, warmth.weights)
	warmth.wishes = map[string]wish{}
	warmth.described = map[string]bool{}
	warmth.number = 0
	warmth.pending = nil
}

// Observe adds arrivals of a model.
func (warmth *warmth) Observe(target catalogue.Target, arrived int) {
	if arrived < 1 {
		return
	}
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	if warmth.described[target.Model] {
		warmth.policy.Observe(target.Model, warmth.clock.Now(), arrived)
		delete(warmth.wishes, target.Model)
	}
}

// Wanted returns the number of replicas of the model to keep loaded now.
func (warmth *warmth) Wanted(model string, now time.Time) int {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	if cached, ok := warmth.wishes[model]; ok && now.Before(cached.until) {
		return cached.replicas
	}
	if !warmth.described[model] {
		return 0
	}
	made := wish{replicas: warmth.policy.Wanted(model, now)}
	made.until = warmth.policy.Next(model, now)
	if made.until.IsZero() {
		made.until = now.Add(warmthEvery)
	}
	warmth.wishes[model] = made
	return made.replicas
}

// run follows the catalogue and the lease and saves what was learnt, part by part.
func (warmth *warmth) run(ctx context.Context) error {
	return every(ctx, warmth.clock, warmthEvery, func(ctx context.Context) {
		if !warmth.decides() {
			warmth.leave()
			return
		}
		warmth.restore(ctx)
		warmth.describe()
		warmth.save(ctx)
	})
}

// leave forgets the book of a former candidacy; its unsaved part is lost.
func (warmth *warmth) leave() {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	if warmth.restored {
		warmth.restored = false
		warmth.begin()
	}
}

// restore reads what predecessors saved, once for each time that this daemon becomes the decider.
func (warmth *warmth) restore(ctx context.Context) {
	if warmth.isRestored() {
		return
	}
	parts, err := warmth.store.Read(ctx)
	if err != nil {
		return
	}
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	for _, part := range parts {
		if err := warmth.book.Restore(part); err != nil {
			event.BookDamaged.LogError(err)
		}
	}
	warmth.restored = true
	event.BookRestored.Log("Parts", len(parts), "Models", warmth.book.Models())
}

func (warmth *warmth) isRestored() bool {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	return warmth.restored
}

// describe gives the policy the traits of the models in force.
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
		warmth.policy.Describe(model.Name, traits(model))
		warmth.described[model.Name] = true
		delete(former, model.Name)
	}
	for model := range former {
		warmth.policy.Forget(model)
		delete(warmth.wishes, model)
	}
	warmth.number = number
}

func traits(model catalogue.Model) keepwarm.Traits {
	return keepwarm.Traits{
		Accelerators: max(1, float64(model.Memory())/acceleratorBytes),
		ColdStart:    time.Duration(float64(model.Weights) / assumedLoadRate * float64(time.Second)),
		Concurrency:  model.Concurrency,
		MaxReplicas:  model.MaxReplicas,
	}
}

// save merges the change of one part into the store. A change whose fate is unclear is saved
// again and entered once.
func (warmth *warmth) save(ctx context.Context) {
	change, ok := warmth.next()
	if !ok {
		return
	}
	if err := warmth.store.Save(ctx, change); err != nil {
		return
	}
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	warmth.pending = nil
}

// next returns the change to save: the pending one, or that of the next part with one.
func (warmth *warmth) next() (keepwarm.Change, bool) {
	warmth.mutex.Lock()
	defer warmth.mutex.Unlock()
	if warmth.pending != nil {
		return *warmth.pending, true
	}
	for range keepwarm.Parts {
		warmth.part = (warmth.part + 1) % keepwarm.Parts
		if change, ok := warmth.book.Take(warmth.part, warmth.saver); ok {
			warmth.pending = &change
			return change, true
		}
	}
	return keepwarm.Change{}, false
}
