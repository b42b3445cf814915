package residency

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// adapters loads the adapters that requests wait for, on engines that have their model.
func (plan *plan) adapters() {
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
		plan.adapter(model, adapter)
	}
	plan.adaptersAhead()
}

// adaptersAhead fills free places with adapters of busy models, so that they serve also while nobody may
// send orders. Each data centre gets its own copies, the rarest adapters first.
func (plan *plan) adaptersAhead() {
	asked := map[string]bool{}
	for name := range plan.state.Adapters {
		model, _, _ := strings.Cut(name, "/")
		asked[model] = true
	}
	for _, name := range plan.names(func(demand Demand) bool { return demand.Rate >= busyRate }) {
		if !asked[name] {
			continue
		}
		for _, engine := range plan.index.loaded[name] {
			if plan.free(engine) && plan.adapterRoom(engine, name) {
				plan.adapterAhead(engine, name)
			}
		}
	}
}

// adapterAhead loads the adapter of the model on the engine that has the fewest copies elsewhere.
func (plan *plan) adapterAhead(engine *Engine, model string) {
	loaded, _ := engine.Holding.Find(model)
	best, fewest := "", adapterCopies
	for number := range plan.state.Spec.Models[model].Adapters {
		adapter := fmt.Sprintf("a%d", number+1)
		if slices.Contains(loaded.Adapters, adapter) {
			continue
		}
		if count, own := plan.adapterCopies(model, adapter, engine.Zone); !own && count < fewest {
			best, fewest = adapter, count
		}
	}
	if best != "" {
		plan.add(engine, Order{Operation: Load, Model: model, Adapter: best, Reason: "AdapterAhead"})
	}
}

// adapterCopies returns the number of engines that have the adapter, and whether one of the data centre has it.
func (plan *plan) adapterCopies(model, adapter, zone string) (count int, own bool) {
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

// adapterRoom reports whether one more adapter of the model fits on the engine.
func (plan *plan) adapterRoom(engine *Engine, model string) bool {
	size := plan.state.Spec.Models[model].AdapterBytes
	return engine.Holding.AdapterCount() < plan.state.Spec.MaxAdapters &&
		engine.used(plan.state.Spec.Models)+size <= plan.state.Spec.Memory
}

// adapter loads one adapter on the engine that its name prefers among those free, or makes room for it.
func (plan *plan) adapter(model, adapter string) {
	var best *Engine
	bestWeight := uint64(0)
	for _, engine := range plan.index.loaded[model] {
		if engine.Holding.Has(model, adapter) {
			return
		}
		if !plan.free(engine) {
			continue
		}
		weight := xxhash.Sum64String(model + "/" + adapter + "/" + engine.ID)
		if plan.adapterRoom(engine, model) {
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
	if !plan.adapterRoom(best, model) {
		if old, other, ok := plan.idleAdapter(best); ok {
			plan.add(best, Order{Operation: Unload, Model: old, Adapter: other, Reason: "AdapterMakeRoom"})
		}
		return
	}
	plan.add(best, Order{Operation: Load, Model: model, Adapter: adapter, Reason: "AdapterAwaited"})
}

// idleAdapter returns the adapter of the engine that was used least recently and that no request uses.
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
