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
	// maxConcurrentProbes is the largest number of probes in flight.
	maxConcurrentProbes = 16
	// probeInterval is the interval at which ejected upstreams are checked for due probes.
	probeInterval = 500 * time.Millisecond
	// maxPlainServices is the largest number of entries in Dispatcher.plainServices, outdated ones included.
	maxPlainServices = 1024
	// idleWorkloadRetention is the time after which an idle workload is deleted.
	idleWorkloadRetention = 10 * time.Minute
)

// Run probes ejected upstreams and deletes unused state until the context ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) {
	for {
		timer := dispatcher.clock.NewTimer(probeInterval)
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

// probeDue probes the ejected upstreams that are due, several concurrently.
func (dispatcher *Dispatcher) probeDue(ctx context.Context) {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentProbes)
	for _, name := range dispatcher.router.DueProbes() {
		probes.Go(func() error {
			dispatcher.probeEjected(ctx, name)
			return nil
		})
	}
	// The probes return no errors.
	_ = probes.Wait()
}

// isPlainService reports whether the upstream serves a plain service.
func (dispatcher *Dispatcher) isPlainService(name string) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.plainServices[name]
}

// prune deletes inactive tenants and the workloads that were idle for idleWorkloadRetention.
func (dispatcher *Dispatcher) prune() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := dispatcher.clock.Now()
	if len(dispatcher.plainServices) > maxPlainServices {
		// Names in use are added again with their next request.
		clear(dispatcher.plainServices)
	}
	for name, workload := range dispatcher.workloads {
		dispatcher.dropInactive(workload, now)
		if workload.idle() && now.Sub(workload.used) >= idleWorkloadRetention {
			delete(dispatcher.workloads, name)
		}
	}
}

// probeEjected probes an ejected upstream. If it responds, it gets requests on trial, and the crash is removed
// from its suspects if the boot is the same as before. A plain service cannot be probed and goes on trial at
// once.
func (dispatcher *Dispatcher) probeEjected(ctx context.Context, name string) {
	boot := ""
	if _, known := dispatcher.deps.Engines.Generator(name); !known && !dispatcher.isPlainService(name) {
		dispatcher.router.Remove(name)
		return
	}
	if !dispatcher.isPlainService(name) {
		boot = dispatcher.probe(ctx, name)
		if boot == "" {
			dispatcher.router.RecordProbe(name, false)
			return
		}
		dispatcher.registry.DropCrash(quarantine.Crash{Upstream: name, BootID: boot})
	}
	dispatcher.router.RecordProbe(name, true)
	event.UpstreamOnTrial.Log("Upstream", name, "Boot", boot)
}

// probe returns the boot ID of the upstream over a new connection, or an empty string if there is no response.
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
