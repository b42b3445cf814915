package placement

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// Placer runs passes and reuses its memory between them. It belongs to one goroutine.
type Placer struct {
	settings Settings
	tiers    LoadTimes

	input  Input
	index  map[string]int
	models []active
	order  []int
	// room has for each upstream of the input what this pass has taken of it.
	room    []room
	starts  int
	result  Result
	victims []ref
}

// active is one model that is loaded, asked for or wished.
type active struct {
	name    string
	model   catalogue.Model
	inForce bool
	need    ModelDemand
	warm    int
	refs    []ref
	// decided are the positions of the upstreams on which this pass decided a load.
	decided []int
	// count is the number of replicas in force that serve or come; serving of those that serve.
	count, serving int
	// retiring is the number of replicas in force whose unload is ordered or under way.
	retiring int
	// target is the number of replicas to have; forNeed of those that requests ask for.
	target, forNeed int
	// waits states that the next replica cannot be loaded in this pass.
	waits bool
	// site is where the first replica is to be loaded; placed states that there is one.
	site   site
	placed bool
}

// ref is the position of a replica in the input.
type ref struct{ upstream, replica int }

// room is what a pass has taken of one upstream.
type room struct {
	// taken is the memory in bytes of loads decided or waiting for memory in this pass.
	taken int64
	// coming is the memory in bytes of replicas that are being unloaded.
	coming int64
}

// NewPlacer returns a placer.
func NewPlacer(settings Settings) *Placer {
	return &Placer{settings: settings.withDefaults(), index: map[string]int{}}
}

// ObserveLoad takes the duration of one load from a tier.
func (placer *Placer) ObserveLoad(tier upstream.Tier, bytes int64, took time.Duration) {
	placer.tiers = placer.tiers.With(tier, bytes, took)
}

// LoadTimes returns the learnt load times.
func (placer *Placer) LoadTimes() LoadTimes {
	return placer.tiers
}

// Pass decides what to order now. The result is valid until the next pass. Its cost grows with
// the active models times the upstreams, and not with the catalogue.
func (placer *Placer) Pass(input Input) Result {
	placer.input = input
	placer.begin()
	placer.gather()
	placer.setTargets()
	placer.unloadUnwanted()
	placer.loadMissing()
	placer.changeRoles()
	placer.addOutlooks()
	return placer.result
}

func (placer *Placer) begin() {
	clear(placer.index)
	placer.models = placer.models[:0]
	placer.room = placer.room[:0]
	placer.starts = placer.input.FreePermits
	placer.result.Decisions = placer.result.Decisions[:0]
	placer.result.LoadEstimates = placer.result.LoadEstimates[:0]
}

func (placer *Placer) gather() {
	for u := range placer.input.Upstreams {
		machine := &placer.input.Upstreams[u]
		placer.room = append(placer.room, room{})
		for r := range machine.Replicas {
			replica := &machine.Replicas[r]
			if isLeaving(replica.Phase) {
				placer.room[u].coming += replica.Memory
			}
			entry := placer.model(replica.Model)
			entry.refs = append(entry.refs, ref{u, r})
			if machine.Leaving || replica.Version != entry.model.Version {
				continue
			}
			entry.add(replica.Phase)
		}
	}
	for _, need := range placer.input.Demands {
		placer.model(need.Model).need = need
	}
	for _, warm := range placer.input.WarmTargets {
		placer.model(warm.Model).warm = warm.Replicas
	}
}

// add counts a replica in force.
func (entry *active) add(phase Phase) {
	if isLeaving(phase) {
		entry.retiring++
		return
	}
	entry.count++
	if phase == Serving {
		entry.serving++
	}
}

// lacks reports whether a further replica may be loaded. A replica whose unload is ordered or
// under way is in the way until the engine confirms that it is gone, since the order may be lost
// and its row still counts as decided.
func (entry *active) lacks() bool {
	return entry.target > entry.count+entry.retiring
}

func isLeaving(phase Phase) bool {
	return phase == UnloadOrdered || phase == BeingUnloaded
}

// model returns the entry of a model, which is valid until the next call.
func (placer *Placer) model(name string) *active {
	if at, ok := placer.index[name]; ok {
		return &placer.models[at]
	}
	at := len(placer.models)
	placer.index[name] = at
	if at < cap(placer.models) {
		placer.models = placer.models[:at+1]
	} else {
		placer.models = append(placer.models, active{})
	}
	entry := &placer.models[at]
	model, inForce := placer.input.Models.Model(name)
	*entry = active{name: name, model: model, inForce: inForce, refs: entry.refs[:0], decided: entry.decided[:0]}
	return entry
}

func (placer *Placer) at(position ref) (*Upstream, *Replica) {
	machine := &placer.input.Upstreams[position.upstream]
	return machine, &machine.Replicas[position.replica]
}

// loadMissing decides the loads that are missing: cold models first, then further replicas for
// requests, then warm ones.
func (placer *Placer) loadMissing() {
	placer.order = placer.order[:0]
	for i := range placer.models {
		if placer.models[i].lacks() {
			placer.order = append(placer.order, i)
		}
	}
	slices.SortFunc(placer.order, func(a, b int) int { return compareUrgency(&placer.models[a], &placer.models[b]) })
	for _, i := range placer.order {
		entry := &placer.models[i]
		entry.waits = !placer.loadOne(entry)
	}
	for _, i := range placer.order {
		for entry := &placer.models[i]; entry.lacks() && !entry.waits; {
			entry.waits = !placer.loadOne(entry)
		}
	}
}

func compareUrgency(a, b *active) int {
	if rank := urgency(a) - urgency(b); rank != 0 {
		return rank
	}
	if order := a.need.Deadline.Compare(b.need.Deadline); order != 0 {
		return order
	}
	if a.name < b.name {
		return -1
	}
	return 1
}

// urgency ranks models that lack replicas; the lowest goes first.
func urgency(entry *active) int {
	switch {
	case entry.forNeed > entry.count && entry.count == 0:
		return 0
	case entry.forNeed > entry.count:
		return 1
	default:
		return 2
	}
}
