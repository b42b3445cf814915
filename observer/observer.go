package observer

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/upstream"
)

// Engines gives the engine of an upstream.
type Engines interface {
	// Engine returns the engine, or false if the upstream is not known.
	Engine(name string) (upstream.Engine, bool)
}

// Store takes the states.
type Store interface {
	// Put takes a state that was asked for at the time.
	Put(state upstream.State, asOf time.Time, direct bool) bool
}

// Observer runs one goroutine for each upstream that it is assigned. Use New.
type Observer struct {
	settings Settings
	engines  Engines
	store    Store
	clock    clock.Clock
	lock     sync.Mutex
	// running has a cancel function for each upstream with a goroutine.
	running map[string]context.CancelFunc
	done    sync.WaitGroup
}

// New returns an observer of no upstream.
func New(settings Settings, engines Engines, store Store, clock clock.Clock) *Observer {
	return &Observer{
		settings: settings.withDefaults(),
		engines:  engines,
		store:    store,
		clock:    clock,
		running:  map[string]context.CancelFunc{},
	}
}

// Assign starts and stops goroutines so that exactly the named upstreams are asked until ctx ends.
func (observer *Observer) Assign(ctx context.Context, names []string) {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		observer.start(ctx, name)
	}
	for name, cancel := range observer.running {
		if !wanted[name] {
			cancel()
			delete(observer.running, name)
		}
	}
}

func (observer *Observer) start(ctx context.Context, name string) {
	if _, ok := observer.running[name]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	observer.running[name] = cancel
	observer.done.Add(1)
	go func() {
		defer observer.done.Done()
		observer.follow(ctx, name)
	}()
}

// Wait returns once all goroutines have ended; their context must have ended before.
func (observer *Observer) Wait() {
	observer.done.Wait()
}

func (observer *Observer) follow(ctx context.Context, name string) {
	silent := false
	for {
		state, err := observer.ask(ctx, name)
		if ctx.Err() != nil {
			return
		}
		silent = report(name, silent, err)
		if !observer.pause(ctx, observer.pace(state, err)) {
			return
		}
	}
}

func (observer *Observer) ask(ctx context.Context, name string) (upstream.State, error) {
	engine, ok := observer.engines.Engine(name)
	if !ok {
		return upstream.State{}, upstream.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, observer.settings.Timeout)
	defer cancel()
	asked := observer.clock.Now()
	state, err := engine.State(ctx)
	if err != nil {
		return upstream.State{}, err
	}
	state.Upstream = name
	observer.store.Put(state, asked, true)
	return state, nil
}

// report logs the change between answering and silent, and returns whether the upstream is silent.
func report(name string, silent bool, err error) bool {
	if err != nil && !silent {
		event.UpstreamSilent.LogError(err, "Upstream", name)
	}
	if err == nil && silent {
		event.UpstreamAnswers.Log("Upstream", name)
	}
	return err != nil
}

func (observer *Observer) pace(state upstream.State, err error) time.Duration {
	if err != nil {
		return observer.settings.Interval
	}
	for _, replica := range state.Replicas {
		if replica.Phase == upstream.Loading || replica.Phase == upstream.Unloading {
			return observer.settings.TransitionInterval
		}
	}
	return observer.settings.Interval
}

func (observer *Observer) pause(ctx context.Context, pace time.Duration) bool {
	select {
	case <-observer.clock.After(pace):
		return true
	case <-ctx.Done():
		return false
	}
}
