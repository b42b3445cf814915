package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/quarantine"
)

// The intervals and limits of Run.
const (
	// probesAtOnce is the largest number of probes that run at once.
	probesAtOnce = 16
	// probeEvery is the interval at which ejected upstreams are looked at.
	probeEvery = 500 * time.Millisecond
	// keepPlain is the largest number of names of plain services' upstreams, old ones included.
	keepPlain = 1024
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
		dispatcher.probeDue(ctx)
		dispatcher.prune()
	}
}

// probeDue probes the ejected upstreams whose time has come, some at once.
func (dispatcher *Dispatcher) probeDue(ctx context.Context) {
	var probes errgroup.Group
	probes.SetLimit(probesAtOnce)
	for _, name := range dispatcher.router.DueProbes() {
		probes.Go(func() error {
			dispatcher.probeBack(ctx, name)
			return nil
		})
	}
	// The probes return no errors.
	_ = probes.Wait()
}

// isPlain reports whether the upstream serves plain services.
func (dispatcher *Dispatcher) isPlain(name string) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.plain[name]
}

// prune drops the lanes that are idle for long.
func (dispatcher *Dispatcher) prune() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := dispatcher.clock.Now()
	if len(dispatcher.plain) > keepPlain {
		// The names in use come back with their next request.
		clear(dispatcher.plain)
	}
	for name, lane := range dispatcher.lanes {
		dispatcher.forget(lane, now)
		if lane.idle() && now.Sub(lane.used) >= keepLane {
			delete(dispatcher.lanes, name)
		}
	}
}

// probeBack asks an ejected upstream for its boot. One that answers gets requests on trial, and no longer
// counts as crashed if the boot is the one before. A plain service has no probe and gets its trial at once.
func (dispatcher *Dispatcher) probeBack(ctx context.Context, name string) {
	boot := ""
	if _, known := dispatcher.deps.Engines.Generator(name); !known && !dispatcher.isPlain(name) {
		dispatcher.router.Remove(name)
		return
	}
	if !dispatcher.isPlain(name) {
		boot = dispatcher.probe(ctx, name)
		if boot == "" {
			dispatcher.router.RecordProbe(name, false)
			return
		}
		dispatcher.book.Absolve(quarantine.Crash{Upstream: name, BootID: boot})
	}
	dispatcher.router.RecordProbe(name, true)
	event.UpstreamOnTrial.Log("Upstream", name, "Boot", boot)
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
