package residency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/demand"
)

// tick is the interval of steps of the simulation, and reportEvery that of reports of demand.
const (
	tick        = 20 * time.Millisecond
	reportEvery = 240 * time.Millisecond
)

// call is a simulated request. It waits for a slot for half a second, for a model for four, and is retried once.
type call struct {
	model         string
	arrived, ends time.Time
	retried       bool
	counted       bool
	engine        *Engine
}

// simulation is a service whose engines run twelve requests at once for two seconds each at the mean speed.
type simulation struct {
	*State
	random  *rand.Rand
	counter *demand.Counter
	// rates maps models to their requests per second at random times, and every to the interval of regular ones.
	rates map[string]float64
	every map[string]time.Duration
	// waiting, running and later hold the requests that wait for an engine, run, and are to be sent again.
	waiting, running, later []*call
	// ends maps busy engines to the end of their orders, and due to the orders.
	ends map[*Engine]time.Time
	due  map[*Engine]Order

	served, refused, unloaded, loads map[string]int
	// spent is the time of the started requests.
	spent   time.Duration
	started int
	// lastUnloads counts unloads of the only copy of a model that was requested in the last 5 s.
	maxStoreLoads, lastUnloads int
}

// The slots of an engine and the requests that its memory for tokens takes, the time of a request at the mean speed, and the number of engines for each one with a copy of a model.
const (
	simulatedSlots = 32
	simulatedRoom  = 12
	simulatedTime  = 2 * time.Second
	enginesPerCopy = 3
)

// simulate returns a service without requests whose models have copies on a third of the disks, and are loaded in turn.
func simulate(engines, models int) *simulation {
	state := fleet(engines, models)
	state.Spec.Slots = simulatedSlots
	state.StoreLimit = 1
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		for at, engine := range state.Engines {
			if (at/enginesPerCopy+i)%enginesPerCopy == 0 && at != i%engines {
				engine.Holding.OnDisk = append(engine.Holding.OnDisk, name)
			}
		}
		if engine := state.Engines[i%engines]; len(engine.Holding.Models) < 2 {
			state.hold(i%engines, name)
		}
	}
	return &simulation{
		State: state, random: rand.New(rand.NewPCG(1, 2)), counter: demand.New(), rates: map[string]float64{}, every: map[string]time.Duration{},
		ends: map[*Engine]time.Time{}, due: map[*Engine]Order{},
		served: map[string]int{}, refused: map[string]int{}, unloaded: map[string]int{}, loads: map[string]int{},
	}
}

// run advances the service by the given time.
func (sim *simulation) run(length time.Duration) {
	for end := sim.Now.Add(length); sim.Now.Before(end); sim.Now = sim.Now.Add(tick) {
		sim.finish()
		sim.arrive()
		sim.dispatch()
		sim.report()
		for _, order := range New(Settings{}).Plan(sim.State) {
			sim.execute(order)
		}
	}
}

// arrive adds new requests and those that are sent again.
func (sim *simulation) arrive() {
	for _, name := range slices.Sorted(maps.Keys(sim.rates)) {
		for rate := sim.rates[name] * tick.Seconds(); sim.random.Float64() < rate; rate-- {
			sim.add(&call{model: name, arrived: sim.Now})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.every)) {
		if sim.Now.Sub(start)%sim.every[name] == 0 {
			sim.add(&call{model: name, arrived: sim.Now})
		}
	}
	sim.later = slices.DeleteFunc(sim.later, func(next *call) bool {
		if sim.Now.Before(next.arrived) {
			return false
		}
		sim.add(next)
		return true
	})
}

func (sim *simulation) add(next *call) {
	sim.waiting = append(sim.waiting, next)
	sim.counter.AddArrival(demand.Key{Model: next.model}, 100, 600*time.Millisecond, sim.Now)
}

// dispatch starts the requests that find a slot, and refuses those that have waited for too long.
func (sim *simulation) dispatch() {
	holders := sim.index().loaded
	sim.waiting = slices.DeleteFunc(sim.waiting, func(next *call) bool {
		key := demand.Key{Model: next.model}
		var best *Engine
		for _, engine := range holders[next.model] {
			if sum(engine.Running) < simulatedRoom && (best == nil || sum(engine.Running) < sum(best.Running)) && sim.due[engine].Operation == Load {
				best = engine
			}
		}
		patience := 500 * time.Millisecond
		if len(holders[next.model]) == 0 {
			patience = 4 * time.Second
		}
		waits := best == nil && sim.Now.Sub(next.arrived) < patience
		if waits && !next.counted && len(holders[next.model]) == 0 {
			next.counted = true
			sim.counter.AddWaiting(key, next.arrived)
		}
		if waits {
			return false
		}
		if next.counted {
			next.counted = false
			sim.counter.RemoveWaiting(key, next.arrived)
		}
		if best == nil {
			sim.refuse(next)
			return true
		}
		best.Running[next.model]++
		next.engine, next.ends = best, sim.Now.Add(time.Duration(float64(simulatedTime)/max(best.Speed, 0.1)))
		sim.started++
		sim.spent += next.ends.Sub(sim.Now)
		sim.running = append(sim.running, next)
		return true
	})
}

func (sim *simulation) refuse(next *call) {
	sim.counter.AddRefused(demand.Key{Model: next.model}, sim.Now)
	if next.retried {
		sim.refused[next.model]++
		return
	}
	next.retried, next.arrived = true, sim.Now.Add(time.Second+time.Duration(sim.random.Int64N(int64(time.Second))))
	sim.later = append(sim.later, next)
}

// finish ends requests and orders.
func (sim *simulation) finish() {
	sim.running = slices.DeleteFunc(sim.running, func(next *call) bool {
		if sim.Now.Before(next.ends) {
			return false
		}
		next.engine.Running[next.model]--
		sim.served[next.model]++
		return true
	})
	for engine, end := range sim.ends {
		if sim.Now.Before(end) {
			continue
		}
		if order := sim.due[engine]; order.Operation == Load {
			engine.LoadedAt[order.Model] = sim.Now
			engine.Loading = ""
		}
		sim.apply(sim.due[engine])
		engine.Busy, engine.Unloading = false, ""
		delete(sim.ends, engine)
		delete(sim.due, engine)
	}
}

// execute begins an order.
func (sim *simulation) execute(order Order) {
	at := slices.IndexFunc(sim.Engines, func(engine *Engine) bool { return engine.ID == order.Engine.ID })
	engine := sim.Engines[at]
	engine.Busy, sim.due[engine] = true, order
	if order.Operation == Unload {
		engine.Unloading, engine.ReservedFor = order.Model, order.For
		sim.ends[engine] = sim.Now.Add(60 * time.Millisecond)
		sim.unloaded[order.Model]++
		if len(sim.index().loaded[order.Model]) == 1 && sim.Now.Sub(sim.Models[order.Model].LastArrival) < 5*time.Second {
			sim.lastUnloads++
		}
		return
	}
	model := sim.Spec.Models[order.Model]
	engine.Loading, engine.LoadingTier, engine.ReservedFor = order.Model, order.Tier, ""
	engine.ReadyAt = sim.Now.Add(order.Tier.Duration(&model))
	sim.ends[engine] = engine.ReadyAt
	sim.loads[order.Model]++
	if order.Tier == Store {
		sim.StoreLoadStarts = append(sim.StoreLoadStarts, sim.Now)
	}
	sim.maxStoreLoads = max(sim.maxStoreLoads, sim.index().storeLoads)
}

// report updates the demand.
func (sim *simulation) report() {
	if sim.Now.Sub(start)%reportEvery != 0 {
		return
	}
	entries, _ := sim.counter.Snapshot(sim.Now)
	sim.Models = map[string]Demand{}
	for _, entry := range entries {
		sim.Models[entry.Model] = Demand{
			Waiting: entry.Waiting, Oldest: entry.Oldest, Rate: entry.Rate, Rise: entry.Rise, Refused: entry.Refused,
			Tokens: entry.Tokens, Target: entry.Target, LastArrival: entry.LastArrival,
		}
	}
	for _, next := range sim.running {
		known := sim.Models[next.model]
		known.Running++
		sim.Models[next.model] = known
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// begin sets what each engine counts, and the speeds in turn.
func (sim *simulation) begin(speeds ...float64) {
	for i, engine := range sim.Engines {
		engine.Running, engine.LoadedAt, engine.Speed = map[string]int{}, map[string]time.Time{}, speeds[i%len(speeds)]
	}
}

// TestCopiesFollowDemand guards against models that stay short of replicas while engines have room, and against unloads of the
// only copy of a model that is still asked for. Each case states the most requests that may be refused for good, the most unloads
// of the only copy of a model that was requested in the last 5 s, and the longest mean time of requests.
func TestCopiesFollowDemand(t *testing.T) {
	cases := []struct {
		name                 string
		refused, lastUnloads int
		mean                 time.Duration
		play                 func() *simulation
	}{
		{"one model rises by 40 within 2 s", 50, 10, 2 * time.Second, func() *simulation { return rising(1, 40) }},
		{"eight models rise by 8 at once", 10, 30, 2 * time.Second, func() *simulation { return rising(8, 8) }},
		{"five models every 4 s beside a busy one", 25, 0, 2 * time.Second, func() *simulation {
			sim := simulate(6, 12)
			sim.begin(1)
			sim.rates["m0"] = 4
			for i := 1; i <= 5; i++ {
				sim.every[fmt.Sprintf("m%d", i)] = 4 * time.Second
			}
			sim.run(10 * time.Second)
			sim.rates["m0"] = 20
			sim.run(30 * time.Second)
			return sim
		}},
		{"speeds of 0.6 to 1.6", 10, 0, 1800 * time.Millisecond, func() *simulation {
			sim := simulate(24, 48)
			sim.begin(0.6, 1, 1.6)
			sim.rates["m0"] = 16
			sim.run(30 * time.Second)
			return sim
		}},
		{"a quarter of the engines gone", 10, 90, 2 * time.Second, func() *simulation {
			sim := simulate(24, 40)
			sim.begin(1)
			for i := range 40 {
				sim.rates[fmt.Sprintf("m%d", i)] = 0.4
			}
			sim.run(10 * time.Second)
			for _, engine := range sim.Engines[:6] {
				delete(sim.ends, engine)
				delete(sim.due, engine)
			}
			sim.running = slices.DeleteFunc(sim.running, func(next *call) bool { return slices.Contains(sim.Engines[:6], next.engine) })
			sim.Engines = sim.Engines[6:]
			sim.run(20 * time.Second)
			return sim
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := c.play()
			served := sum(sim.served)
			mean := sim.spent / time.Duration(sim.started)
			t.Logf("served %d, refused %d, loads %d, unloads %d, %d of them of the last copy, mean time %v",
				served, sum(sim.refused), sum(sim.loads), sum(sim.unloaded), sim.lastUnloads, mean)
			if sum(sim.refused) > c.refused || sim.lastUnloads > c.lastUnloads || mean > c.mean {
				t.Errorf("at most %d refused, %d unloads of the last copy and a mean time of %v wanted", c.refused, c.lastUnloads, c.mean)
			}
			if sim.maxStoreLoads > sim.StoreLimit {
				t.Errorf("%d loads at once from the weight store, at most %d allowed", sim.maxStoreLoads, sim.StoreLimit)
			}
			window, allowed := New(Settings{}).settings.LoadWindow, int(sim.Spec.LoadsPerSecond*New(Settings{}).settings.LoadWindow.Seconds())
			for i, at := range sim.StoreLoadStarts[min(allowed, len(sim.StoreLoadStarts)):] {
				if took := at.Sub(sim.StoreLoadStarts[i]); took < window {
					t.Errorf("%d loads from the weight store began within %v", allowed+1, took)
				}
			}
			for _, engine := range sim.Engines {
				if used := engine.used(sim.Spec.Models); used > sim.Spec.Memory {
					t.Errorf("%s uses %d of %d bytes", engine.ID, used, sim.Spec.Memory)
				}
			}
		})
	}
}

// rising plays models whose requests rise from one every ten seconds to the given rate within 2 s, beside others.
func rising(models int, rate float64) *simulation {
	sim := simulate(30, 60)
	sim.begin(1)
	for i := range 60 {
		sim.rates[fmt.Sprintf("m%d", i)] = []float64{0, 0.5}[i%2]
	}
	sim.run(5 * time.Second)
	for second := range 2 {
		for i := range models {
			sim.rates[fmt.Sprintf("m%d", i)] = rate * float64(second+1) / 2
		}
		sim.run(time.Second)
	}
	sim.run(20 * time.Second)
	return sim
}
