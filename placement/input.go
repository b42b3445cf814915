package placement

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// Models is the catalogue in force.
type Models interface {
	// Model returns a model in force.
	Model(name string) (catalogue.Model, bool)
}

// Phase is the phase of a replica as placement distinguishes it.
type Phase int

// The phases of replicas.
const (
	// Pending is a replica that is decided or loading.
	Pending Phase = iota
	// Serving is a replica that accepts requests.
	Serving
	// UnloadOrdered is a replica whose unload is ordered and that the engine still shows as
	// serving.
	UnloadOrdered
	// BeingUnloaded is a replica that the engine is unloading; its memory is not free yet.
	BeingUnloaded
)

// Replica is one replica on an upstream.
type Replica struct {
	// Model and Version name the weights.
	Model, Version string
	// Memory is the accelerator memory in bytes that is charged for it.
	Memory int64
	// Phase is its phase.
	Phase Phase
	// Load is the number of requests that it runs or that wait at the engine.
	Load int
	// Pinned states that it must not be evicted.
	Pinned bool
	// LastUsed is the last time at which it had a request, or the time at which it became ready.
	LastUsed time.Time
}

// Upstream is one engine.
type Upstream struct {
	// Name is the name of the VM.
	Name string
	// Role is the role in force.
	Role upstream.Role
	// Capacity is the accelerator memory in bytes, and Charged the part of it that is charged.
	// Charged includes all Replicas.
	Capacity, Charged int64
	// Usable states that loads may be decided on it: its state is fresh and its replicas are
	// known.
	Usable bool
	// Leaving states that it accepts no new work; its replicas are to be replaced.
	Leaving bool
	// Replicas are its replicas in any phase.
	Replicas []Replica
	// Checkpoints is the fastest tier that holds "model@version", by that name.
	Checkpoints map[string]upstream.Tier
}

// Input is the state of one data centre for one pass.
type Input struct {
	// Now is the time of the pass.
	Now time.Time
	// Upstreams are the engines.
	Upstreams []Upstream
	// Demands is the demand, at most one entry for each model.
	Demands []ModelDemand
	// WarmTargets are the replicas to keep loaded, at most one entry for each model.
	WarmTargets []WarmTarget
	// Models is the catalogue in force.
	Models Models
	// FreePermits is the number of loads from the weight store that may start now.
	FreePermits int
	// NextPermitIn is the time until a further load may start once FreePermits is used up.
	NextPermitIn time.Duration
	// Assign returns where a model may be loaded; nil restricts no model.
	Assign func(model catalogue.Model) Assignment
}

// Assignment restricts where a model may be loaded. The zero value restricts nothing.
type Assignment struct {
	// Restricted states that the model may be loaded on Upstream only.
	Restricted bool
	// Upstream is the only upstream; empty means none.
	Upstream string
	// MemoryCharged states that the memory of the replica is charged on Upstream already.
	MemoryCharged bool
}
