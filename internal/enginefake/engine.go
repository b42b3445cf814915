package enginefake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// Engine is one simulated engine. It is safe for concurrent use. Use New.
type Engine struct {
	settings Settings
	clock    clock.Clock

	mutex    sync.Mutex
	boots    int
	sequence uint64
	fence    uint64
	role     upstream.Role
	leaving  bool
	// verdicts holds the verdict of each order that this boot has executed, by order identifier.
	verdicts     map[string]upstream.Verdict
	replicas     []*replica
	checkpoints  map[string]upstream.Tier
	faults       []Fault
	lateOrders   []lateOrder
	sent         []upstream.Order
	unreachable  bool
	failingLoads int
	overcommits  int
}

// lateOrder is an order that has not been delivered yet.
type lateOrder struct {
	order  upstream.Order
	sentAt time.Time
}

// replica is one replica with the time of its next change of phase.
type replica struct {
	upstream.Replica
	changesAt time.Time
	willFail  bool
}

// New returns an engine with empty memory and without faults.
func New(clock clock.Clock, settings Settings) *Engine {
	engine := &Engine{settings: settings, clock: clock, role: upstream.Mixed, checkpoints: map[string]upstream.Tier{}}
	engine.newBoot()
	return engine
}

func (engine *Engine) newBoot() {
	engine.boots++
	engine.sequence = 0
	engine.fence = 0
	engine.verdicts = map[string]upstream.Verdict{}
	engine.replicas = nil
}

// State returns the current state of the engine, or upstream.ErrNotSent while it is unreachable.
func (engine *Engine) State(context.Context) (upstream.State, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.unreachable {
		return upstream.State{}, upstream.ErrNotSent
	}
	engine.finishDue()
	engine.sequence++
	state := upstream.State{
		Upstream:    engine.settings.Name,
		BootID:      engine.bootID(),
		Sequence:    engine.sequence,
		Taken:       engine.clock.Now(),
		Role:        engine.role,
		Capacity:    engine.settings.Capacity,
		Checkpoints: map[string]upstream.Tier{},
		Leaving:     engine.leaving,
	}
	if engine.settings.ChecksFencing {
		state.Fence = engine.fence
	}
	for key, tier := range engine.checkpoints {
		state.Checkpoints[key] = tier
	}
	for _, replica := range engine.replicas {
		state.Replicas = append(state.Replicas, replica.Replica)
	}
	return state, nil
}

// Send executes an order unless a fault applies to it.
func (engine *Engine) Send(_ context.Context, order upstream.Order) (upstream.Verdict, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.unreachable {
		return "", upstream.ErrNotSent
	}
	engine.sent = append(engine.sent, order)
	switch engine.nextFault(order) {
	case NotSent:
		return "", upstream.ErrNotSent
	case RequestLost:
		return "", upstream.ErrNoResponse
	case ResponseLost:
		engine.execute(order)
		return "", upstream.ErrNoResponse
	case Late:
		engine.lateOrders = append(engine.lateOrders, lateOrder{order, engine.clock.Now()})
		return "", upstream.ErrNoResponse
	default:
		return engine.execute(order), nil
	}
}

func (engine *Engine) nextFault(order upstream.Order) Fault {
	if len(engine.faults) == 0 || order.Verb == upstream.Touch {
		return None
	}
	next := engine.faults[0]
	engine.faults = engine.faults[1:]
	return next
}

func (engine *Engine) execute(order upstream.Order) upstream.Verdict {
	engine.finishDue()
	if verdict, known := engine.verdicts[order.ID]; known {
		return verdict
	}
	if engine.settings.ChecksFencing && order.Fence < engine.fence {
		return upstream.Fenced
	}
	if engine.settings.ChecksBoot && order.BootID != engine.bootID() {
		return upstream.WrongBoot
	}
	engine.fence = max(engine.fence, order.Fence)
	verdict := engine.apply(order)
	if engine.settings.ChecksFencing {
		// An engine that ignores fencing numbers is assumed not to remember orders either.
		engine.verdicts[order.ID] = verdict
	}
	return verdict
}

func (engine *Engine) apply(order upstream.Order) upstream.Verdict {
	switch order.Verb {
	case upstream.Load:
		return engine.load(order)
	case upstream.Unload:
		return engine.unload(order)
	case upstream.ChangeRole:
		engine.role = order.Role
	}
	return upstream.Accepted
}

func (engine *Engine) load(order upstream.Order) upstream.Verdict {
	if engine.leaving {
		return upstream.EngineLeaving
	}
	if engine.find(order) != nil {
		return upstream.Accepted
	}
	loaded := &replica{changesAt: engine.clock.Now().Add(engine.settings.LoadTime), willFail: engine.failingLoads > 0}
	engine.failingLoads = max(0, engine.failingLoads-1)
	loaded.Replica = upstream.Replica{
		Model: order.Model, Version: order.Version, Order: order.ID, Phase: upstream.Loading, Memory: order.Memory,
	}
	engine.replicas = append(engine.replicas, loaded)
	if engine.usedMemory() > engine.settings.Capacity {
		engine.overcommits++
	}
	if engine.settings.OnLoad != nil {
		engine.settings.OnLoad(engine.settings.Name, order.Model, order.Version)
	}
	return upstream.Accepted
}

func (engine *Engine) unload(order upstream.Order) upstream.Verdict {
	found := engine.find(order)
	if found == nil {
		return upstream.NoSubject
	}
	if found.Phase != upstream.Unloading {
		found.Phase = upstream.Unloading
		found.changesAt = engine.clock.Now().Add(engine.settings.UnloadTime)
	}
	return upstream.Accepted
}

func (engine *Engine) find(order upstream.Order) *replica {
	for _, replica := range engine.replicas {
		if replica.Model == order.Model && replica.Version == order.Version && replica.Phase != upstream.Failed {
			return replica
		}
	}
	return nil
}

// finishDue completes the loads and unloads that are due. The caller must hold the mutex.
func (engine *Engine) finishDue() {
	now := engine.clock.Now()
	engine.replicas = slices.DeleteFunc(engine.replicas, func(replica *replica) bool {
		if now.Before(replica.changesAt) {
			return false
		}
		switch replica.Phase {
		case upstream.Unloading, upstream.Failed:
			return true
		case upstream.Loading:
			replica.Phase = upstream.Ready
			engine.checkpoints[upstream.CheckpointKey(replica.Model, replica.Version)] = upstream.Memory
			if replica.willFail {
				replica.Phase = upstream.Failed
				replica.Memory = 0
				replica.changesAt = now.Add(engine.settings.LoadTime)
			}
		}
		return false
	})
}

func (engine *Engine) usedMemory() int64 {
	var total int64
	for _, replica := range engine.replicas {
		total += replica.Memory
	}
	return total
}

func (engine *Engine) bootID() string {
	return fmt.Sprintf("%s-boot-%d", engine.settings.Name, engine.boots)
}
