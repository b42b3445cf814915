package placement

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// Placer runs passes and uses its memory again between them. It belongs to one goroutine.
type Placer struct {
	settings  Settings
	loadTimes LoadTimes

	input  Input
	index  map[string]int
	models []modelState
	order  []int
	// usage holds, for each upstream of the input, the memory that this pass has reserved or is
	// freeing.
	usage   []usage
	permits int
	result  Result
	victims []ref
}

// modelState is the state of one model that is loaded, requested or to be kept warm.
type modelState struct {
	name    string
	model   catalogue.Model
	inForce bool
	demand  ModelDemand
	warm    int
	refs    []ref
	// decided holds the indices of the upstreams on which this pass decided a load.
	decided []int
	// count is the number of replicas in force that serve or are pending; serving is the number
	// of those that serve.
	count, serving int
	// unloading is the number of replicas in force whose unload is ordered or under way.
	unloading int
	// target is the number of replicas to have; forDemand is the number that requests require.
	target, forDemand int
	// blocked states that the next replica cannot be loaded in this pass.
	blocked bool
	// option is how the first replica is to be loaded; hasOption states that there is a way.
	option    option
	hasOption bool
}

// ref holds the indices of a replica in the input.
type ref struct{ upstream, replica int }

// usage is the memory of one upstream that a pass has reserved or is freeing.
type usage struct {
	// reserved is the memory in bytes of loads decided or waiting for memory in this pass.
	reserved int64
	// freeing is the memory in bytes of replicas that are being unloaded.
	freeing int64
}

// NewPlacer returns a placer without learned load times.
func NewPlacer(settings Settings) *Placer {
	return &Placer{settings: settings.withDefaults(), index: map[string]int{}}
}

// ObserveLoad learns from the duration of one load from a tier.
func (placer *Placer) ObserveLoad(tier upstream.Tier, bytes int64, took time.Duration) {
	placer.loadTimes = placer.loadTimes.With(tier, bytes, took)
}

// LoadTimes returns the learned load times.
func (placer *Placer) LoadTimes() LoadTimes {
	return placer.loadTimes
}

// Pass decides which orders to send now. The result is valid until the next pass. Pass changes
// the phases of input replicas that it unloads. Its cost grows with the active models times the
// upstreams, not with the catalogue.
func (placer *Placer) Pass(input Input) Result {
	placer.input = input
	placer.reset()
	placer.collect()
	placer.setTargets()
	placer.unloadUnwanted()
	placer.loadMissing()
	placer.changeRoles()
	placer.addEstimates()
	return placer.result
}

func (placer *Placer) reset() {
	clear(placer.index)
	placer.models = placer.models[:0]
	placer.usage = placer.usage[:0]
	placer.permits = placer.input.FreePermits
	placer.result.Decisions = placer.result.Decisions[:0]
	placer.result.LoadEstimates = placer.result.LoadEstimates[:0]
}

func (placer *Placer) collect() {
	for u := range placer.input.Upstreams {
		engine := &placer.input.Upstreams[u]
		placer.usage = append(placer.usage, usage{})
		for r := range engine.Replicas {
			replica := &engine.Replicas[r]
			if isUnloading(replica.Phase) {
				placer.usage[u].freeing += replica.Memory
			}
			entry := placer.model(replica.Model)
			entry.refs = append(entry.refs, ref{u, r})
			if engine.Leaving || replica.Version != entry.model.Version {
				continue
			}
			entry.countReplica(replica.Phase)
		}
	}
	for _, demand := range placer.input.Demands {
		placer.model(demand.Model).demand = demand
	}
	for _, warm := range placer.input.WarmTargets {
		placer.model(warm.Model).warm = warm.Replicas
	}
}

// countReplica counts a replica in force.
func (entry *modelState) countReplica(phase Phase) {
	if isUnloading(phase) {
		entry.unloading++
		return
	}
	entry.count++
	if phase == Serving {
		entry.serving++
	}
}

// lacksReplica reports whether a further replica may be loaded. A replica whose unload is
// ordered or under way prevents a load until the engine confirms that it is gone, since the
// order may be lost and its row still counts as decided.
func (entry *modelState) lacksReplica() bool {
	return entry.target > entry.count+entry.unloading
}

func isUnloading(phase Phase) bool {
	return phase == UnloadOrdered || phase == BeingUnloaded
}

// model returns the state of a model, which is valid until the next call.
func (placer *Placer) model(name string) *modelState {
	if at, ok := placer.index[name]; ok {
		return &placer.models[at]
	}
	at := len(placer.models)
	placer.index[name] = at
	if at < cap(placer.models) {
		placer.models = placer.models[:at+1]
	} else {
		placer.models = append(placer.models, modelState{})
	}
	entry := &placer.models[at]
	model, inForce := placer.input.Models.Model(name)
	*entry = modelState{name: name, model: model, inForce: inForce, refs: entry.refs[:0], decided: entry.decided[:0]}
	return entry
}

func (placer *Placer) replicaAt(position ref) (*Upstream, *Replica) {
	engine := &placer.input.Upstreams[position.upstream]
	return engine, &engine.Replicas[position.replica]
}

// loadMissing decides the loads that are missing: cold models first, then further replicas for
// requests, then replicas to be kept warm.
func (placer *Placer) loadMissing() {
	placer.order = placer.order[:0]
	for i := range placer.models {
		if placer.models[i].lacksReplica() {
			placer.order = append(placer.order, i)
		}
	}
	slices.SortFunc(placer.order, func(a, b int) int { return comparePriority(&placer.models[a], &placer.models[b]) })
	for _, i := range placer.order {
		entry := &placer.models[i]
		entry.blocked = !placer.loadOne(entry)
	}
	for _, i := range placer.order {
		for entry := &placer.models[i]; entry.lacksReplica() && !entry.blocked; {
			entry.blocked = !placer.loadOne(entry)
		}
	}
}

func comparePriority(a, b *modelState) int {
	if difference := priority(a) - priority(b); difference != 0 {
		return difference
	}
	if order := a.demand.Deadline.Compare(b.demand.Deadline); order != 0 {
		return order
	}
	if a.name < b.name {
		return -1
	}
	return 1
}

// priority returns the priority of a model that lacks replicas: 0 for a cold model with
// requests, 1 for further replicas for requests, 2 for warm replicas.
func priority(entry *modelState) int {
	switch {
	case entry.forDemand > entry.count && entry.count == 0:
		return 0
	case entry.forDemand > entry.count:
		return 1
	default:
		return 2
	}
}
