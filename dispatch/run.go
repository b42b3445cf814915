package dispatch

import (
	"context"
	"time"
)

// The intervals of Run.
const (
	// probeEvery is the interval at which ejected upstreams are looked at.
	probeEvery = 500 * time.Millisecond
	// keepLane is the time after which an idle lane is dropped.
	keepLane = 10 * time.Minute
)

// Run probes ejected upstreams and drops what is not used, until the context ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) {
	for {
		timer := dispatcher.clock.NewTimer(probeEvery)
		select {
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		for _, name := range dispatcher.router.DueProbes() {
			dispatcher.router.Probed(name, dispatcher.answers(ctx, name))
		}
		dispatcher.prune()
	}
}

// prune drops the lanes that are idle for long.
func (dispatcher *Dispatcher) prune() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := dispatcher.clock.Now()
	for name, lane := range dispatcher.lanes {
		if lane.idle() && now.Sub(lane.used) >= keepLane {
			delete(dispatcher.lanes, name)
		}
	}
}

// answers reports whether the upstream may get a request on trial. A plain service has no probe.
func (dispatcher *Dispatcher) answers(ctx context.Context, name string) bool {
	if _, ok := dispatcher.deps.Engines.Generator(name); !ok {
		return true
	}
	return dispatcher.probe(ctx, name) != ""
}

// probe returns the boot of the upstream as a fresh connection tells it, or nothing if there is no answer.
func (dispatcher *Dispatcher) probe(ctx context.Context, name string) string {
	generator, ok := dispatcher.deps.Engines.Generator(name)
	if !ok {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.settings.ProbeTimeout)
	defer cancel()
	boot, err := generator.Probe(ctx)
	if err != nil {
		return ""
	}
	return boot
}
