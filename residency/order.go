package residency

import "github.com/bronzestall/bronzestall/topology"

// Operation is what an order does.
type Operation int

// The operations.
const (
	// Load brings a model or an adapter into accelerator memory.
	Load Operation = iota
	// Unload drops a model or an adapter.
	Unload
)

// String returns the name of the operation for logs.
func (operation Operation) String() string {
	if operation == Unload {
		return "Unload"
	}
	return "Load"
}

// Order changes what one engine holds.
type Order struct {
	// Engine is the incarnation that must carry it out.
	Engine topology.Incarnation
	// Address is the IP address and port of the engine.
	Address string
	// Operation is what it does.
	Operation Operation
	// Model is the model, and Adapter the adapter of it; an empty Adapter means the model itself.
	Model, Adapter string
	// After is the number of orders that the engine accepted before. An engine that accepted another
	// one meanwhile refuses the order, also if it arrives late.
	After uint64
	// Tier is where the weights of a load come from.
	Tier Tier
	// For is the model that an unload makes room for.
	For string
	// Reason tells why, for logs.
	Reason string
}

// Verdict is the answer of an engine to an order.
type Verdict int

// The verdicts.
const (
	// Accepted means that the order is being carried out.
	Accepted Verdict = iota
	// Fulfilled means that what the order wants holds already.
	Fulfilled
	// Conflicting means that another order is being carried out or was accepted before.
	Conflicting
	// Superseded means that the engine saw a higher fencing token.
	Superseded
	// Refused means that the engine does not take the order.
	Refused
)

// String returns the name of the verdict for logs.
func (verdict Verdict) String() string {
	return [...]string{"Accepted", "Fulfilled", "Conflicting", "Superseded", "Refused"}[verdict]
}
