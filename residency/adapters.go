package residency

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// loadAwaitedAdapters plans loads of the adapters that requests wait for, oldest request first, on engines that
// have their model loaded. It then plans prefetches.
func (plan *plan) loadAwaitedAdapters() {
	var names []string
	for name, demand := range plan.state.Adapters {
		if demand.Waiting > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Adapters[a], plan.state.Adapters[b]
		return cmp.Or(first.Oldest.Compare(second.Oldest), strings.Compare(a, b))
	})
	for _, name := range names {
		model, adapter, _ := strings.Cut(name, "/")
		plan.loadAdapter(model, adapter)
	}
	plan.prefetchAdapters()
}

// prefetchAdapters fills free adapter slots with adapters of popular models, so that they are available while no
// daemon may send orders. Each data centre gets its own copies, the adapters with the fewest copies first.
func (plan *plan) prefetchAdapters() {
	withAdapters := map[string]bool{}
	for name := range plan.state.Adapters {
		model, _, _ := strings.Cut(name, "/")
		withAdapters[model] = true
	}
	if len(withAdapters) == 0 {
		return
	}
	for _, name := range plan.modelsWhere(func(demand Demand) bool { return demand.Rate >= popularRate }) {
		if !withAdapters[name] {
			continue
		}
		for _, engine := range plan.index.loaded[name] {
			if plan.available(engine) && plan.adapterFits(engine, name) {
				plan.prefetchAdapter(engine, name)
			}
		}
	}
}

// prefetchAdapter loads on the engine the adapter of the model with the fewest copies, unless its data centre has
// one already.
func (plan *plan) prefetchAdapter(engine *Engine, model string) {
	loaded, _ := engine.Holding.Find(model)
	best, fewest := "", maxAdapterCopies
	for number := range plan.state.Spec.Models[model].Adapters {
		adapter := fmt.Sprintf("a%d", number+1)
		if slices.Contains(loaded.Adapters, adapter) {
			continue
		}
		if count, own := plan.countAdapterCopies(model, adapter, engine.Zone); !own && count < fewest {
			best, fewest = adapter, count
		}
	}
	if best != "" {
		plan.addOrder(engine, Order{Operation: Load, Model: model, Adapter: best, Reason: "AdapterAhead"})
	}
}

// countAdapterCopies returns the number of engines that have the adapter or are about to load it, and whether an
// engine of the data centre has it.
func (plan *plan) countAdapterCopies(model, adapter, zone string) (count int, own bool) {
	for _, engine := range plan.index.loaded[model] {
		if engine.Holding.Has(model, adapter) {
			count++
			own = own || engine.Zone == zone
		}
	}
	for _, order := range plan.orders {
		if order.Operation == Load && order.Model == model && order.Adapter == adapter {
			count++
		}
	}
	return count, own
}

// adapterFits reports whether one more adapter of the model fits on the engine.
func (plan *plan) adapterFits(engine *Engine, model string) bool {
	size := plan.state.Spec.Models[model].AdapterBytes
	return engine.Holding.AdapterCount() < plan.state.Spec.MaxAdapters &&
		engine.used(plan.state.Spec.Models)+size <= plan.state.Spec.Memory
}

// loadAdapter loads one adapter on an available engine chosen by rendezvous hashing, engines with a free slot
// first. If none has one, it unloads an idle adapter.
func (plan *plan) loadAdapter(model, adapter string) {
	var best *Engine
	bestWeight := uint64(0)
	for _, engine := range plan.index.holders(model) {
		if engine.Holding.Has(model, adapter) {
			return
		}
		if !plan.available(engine) {
			continue
		}
		weight := xxhash.Sum64String(model + "/" + adapter + "/" + engine.ID)
		if plan.adapterFits(engine, model) {
			weight |= 1 << 63
		} else {
			weight &^= 1 << 63
		}
		if best == nil || weight > bestWeight {
			best, bestWeight = engine, weight
		}
	}
	if best == nil {
		return
	}
	if !plan.adapterFits(best, model) {
		if victimModel, victimAdapter, ok := plan.idleAdapter(best); ok {
			plan.addOrder(best, Order{Operation: Unload, Model: victimModel, Adapter: victimAdapter, Reason: "AdapterMakeRoom"})
		}
		return
	}
	plan.addOrder(best, Order{Operation: Load, Model: model, Adapter: adapter, Reason: "AdapterAwaited"})
}

// idleAdapter returns the least recently used adapter of the engine without requests in flight or waiting.
func (plan *plan) idleAdapter(engine *Engine) (model, adapter string, ok bool) {
	var oldest time.Time
	for _, loaded := range engine.Holding.Models {
		for _, name := range loaded.Adapters {
			key := loaded.Model + "/" + name
			demand := plan.state.Adapters[key]
			if engine.AdaptersRunning[key] > 0 || demand.Waiting > 0 {
				continue
			}
			if !ok || demand.LastArrival.Before(oldest) {
				model, adapter, oldest, ok = loaded.Model, name, demand.LastArrival, true
			}
		}
	}
	return model, adapter, ok
}
