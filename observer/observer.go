package observer

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/upstream"
)

// Engines provides the engines of upstreams.
type Engines interface {
	// Engine returns the engine of the upstream, or false if the upstream is unknown.
	Engine(name string) (upstream.Engine, bool)
}

// Store stores the states of engines.
type Store interface {
	// Put stores a state. asOf is the time at which the state was requested; direct states that it came from
	// the engine itself.
	Put(state upstream.State, asOf time.Time, direct bool) bool
}

// Observer polls the assigned upstreams, each in its own goroutine. It is safe for concurrent use. Use New.
type Observer struct {
	settings Settings
	engines  Engines
	store    Store
	clock    clock.Clock
	lock     sync.Mutex
	// cancels holds the cancel function of the goroutine of each assigned upstream.
	cancels    map[string]context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns an observer to which no upstreams are assigned.
func New(settings Settings, engines Engines, store Store, clock clock.Clock) *Observer {
	return &Observer{
		settings: settings.withDefaults(),
		engines:  engines,
		store:    store,
		clock:    clock,
		cancels:  map[string]context.CancelFunc{},
	}
}

// Assign starts and stops goroutines so that exactly the named upstreams are polled until ctx ends.
func (observer *Observer) Assign(ctx context.Context, names []string) {
	observer.lock.Lock()
	defer observer.lock.Unlock()
	assigned := make(map[string]bool, len(names))
	for _, name := range names {
		assigned[name] = true
		observer.start(ctx, name)
	}
	for name, cancel := range observer.cancels {
		if !assigned[name] {
			cancel()
			delete(observer.cancels, name)
		}
	}
}

func (observer *Observer) start(ctx context.Context, name string) {
	if _, ok := observer.cancels[name]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	observer.cancels[name] = cancel
	observer.goroutines.Add(1)
	go func() {
		defer observer.goroutines.Done()
		observer.pollLoop(ctx, name)
	}()
}

// Wait waits until all goroutines have returned. Cancel the context of Assign first.
func (observer *Observer) Wait() {
	observer.goroutines.Wait()
}

// pollLoop polls one upstream until ctx ends.
func (observer *Observer) pollLoop(ctx context.Context, name string) {
	unresponsive := false
	for {
		state, err := observer.poll(ctx, name)
		if ctx.Err() != nil {
			return
		}
		unresponsive = logTransition(name, unresponsive, err)
		if !observer.sleep(ctx, observer.interval(state, err)) {
			return
		}
	}
}

// poll requests the state of one upstream and stores it.
func (observer *Observer) poll(ctx context.Context, name string) (upstream.State, error) {
	engine, ok := observer.engines.Engine(name)
	if !ok {
		return upstream.State{}, upstream.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, observer.settings.Timeout)
	defer cancel()
	requestedAt := observer.clock.Now()
	state, err := engine.State(ctx)
	if err != nil {
		return upstream.State{}, err
	}
	state.Upstream = name
	observer.store.Put(state, requestedAt, true)
	return state, nil
}

// logTransition logs when an upstream stops responding or responds again, and returns whether it is unresponsive.
func logTransition(name string, unresponsive bool, err error) bool {
	if err != nil && !unresponsive {
		event.UpstreamSilent.LogError(err, "Upstream", name)
	}
	if err == nil && unresponsive {
		event.UpstreamAnswers.Log("Upstream", name)
	}
	return err != nil
}

// interval returns the time until the next poll, given the result of the last one.
func (observer *Observer) interval(state upstream.State, err error) time.Duration {
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

// sleep waits for the interval and returns true, or false if ctx ends first.
func (observer *Observer) sleep(ctx context.Context, interval time.Duration) bool {
	select {
	case <-observer.clock.After(interval):
		return true
	case <-ctx.Done():
		return false
	}
}
