package placement

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Decision is one order to send.
type Decision struct {
	// Verb is Load, Unload or ChangeRole.
	Verb upstream.Verb
	// Upstream is the name of the engine's VM.
	Upstream string
	// Model and Version name the replica.
	Model, Version string
	// Memory is the accelerator memory in bytes of a Load.
	Memory int64
	// Role is the new role of a ChangeRole.
	Role upstream.Role
	// Tier is where a Load takes the checkpoint from.
	Tier upstream.Tier
	// Warm states that no request waits for a Load.
	Warm bool
}

// Obstacle states why a replica cannot be loaded at once.
type Obstacle int

// The obstacles.
const (
	// NoObstacle means that the load is decided or under way.
	NoObstacle Obstacle = iota
	// AwaitsMemory means that the load waits until memory is freed.
	AwaitsMemory
	// AwaitsPermit means that the weight store accepts no further load now.
	AwaitsPermit
	// NoRoom means that busy replicas occupy the memory of every upstream.
	NoRoom
	// NoUpstream means that no usable upstream is large enough for the model.
	NoUpstream
)

// LoadEstimate states when a model that requests wait for is expected to serve.
type LoadEstimate struct {
	// Model is the name of the model.
	Model string
	// Obstacle states why a replica cannot be loaded at once.
	Obstacle Obstacle
	// ReadyIn is the expected time until a replica serves; it is meaningless for NoRoom and
	// NoUpstream.
	ReadyIn time.Duration
}

// Result is the result of a pass. It is valid until the next pass.
type Result struct {
	// Decisions are the orders to send, most urgent first.
	Decisions []Decision
	// LoadEstimates has one entry for each model that requests wait for and that has no serving
	// replica.
	LoadEstimates []LoadEstimate
}
