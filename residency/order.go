package residency

import "github.com/bronzestall/bronzestall/topology"

// Operation is the kind of change that an order makes.
type Operation int

// The operations of an order.
const (
	// Load brings a model or an adapter into accelerator memory.
	Load Operation = iota
	// Unload removes a model or an adapter from accelerator memory.
	Unload
)

// String returns the name of the operation for logs.
func (operation Operation) String() string {
	if operation == Unload {
		return "Unload"
	}
	return "Load"
}

// Order is a command to one engine to load or unload a model or adapter.
type Order struct {
	// Engine is the incarnation that must execute the order.
	Engine topology.Incarnation
	// Address is the IP address and port of the engine.
	Address string
	// Operation is the change to make.
	Operation Operation
	// Model is the name of the model, and Adapter that of its adapter. An empty Adapter means the model itself.
	Model, Adapter string
	// After is the number of orders that the engine had accepted when this one was planned. An engine that has
	// accepted another one since refuses the order, even if it arrives late.
	After uint64
	// Tier is the source of the weights of a load.
	Tier Tier
	// For is the model that an unload frees memory for.
	For string
	// Reason is the cause of the order, for logs.
	Reason string
}

// Verdict is the response of an engine to an order.
type Verdict int

// The verdicts on an order.
const (
	// Accepted means that the engine executes the order.
	Accepted Verdict = iota
	// Fulfilled means that the requested state already holds.
	Fulfilled
	// Conflicting means that another order is in progress or was accepted since.
	Conflicting
	// Superseded means that the engine has seen a higher fencing token.
	Superseded
	// Refused means that the engine rejected the order for another reason.
	Refused
)

// String returns the name of the verdict for logs.
func (verdict Verdict) String() string {
	return [...]string{"Accepted", "Fulfilled", "Conflicting", "Superseded", "Refused"}[verdict]
}
