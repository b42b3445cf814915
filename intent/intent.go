package intent

import "github.com/bronzestall/bronzestall/upstream"

// Intent is the record of one order, written before the order is sent.
type Intent struct {
	// ID is the identifier of the order. It is never reused.
	ID string `json:"Id"`
	// Upstream is the name of the engine's VM.
	Upstream string `json:"Upstream"`
	// BootID is the boot of the engine for which the order was decided.
	BootID string `json:"BootId"`
	// Verb is the action of the order.
	Verb upstream.Verb `json:"Verb"`
	// Model is the name of the model that the order is for.
	Model string `json:"Model,omitempty"`
	// Version is the version of the weights.
	Version string `json:"Version,omitempty"`
	// Memory is the accelerator memory in bytes that is charged for a Load.
	Memory int64 `json:"Memory,omitempty"`
	// Role is the new role of a ChangeRole.
	Role upstream.Role `json:"Role,omitempty"`
	// Fence is the fencing number of the lease under which the order was decided.
	Fence uint64 `json:"Fence"`
	// Sender is the process that may send the order.
	Sender Sender `json:"Sender"`
	// Tier is where a Load takes the checkpoint from.
	Tier upstream.Tier `json:"Tier,omitempty"`
	// Budget is the fencing number of the former holder whose budget covers the replica, or zero.
	Budget uint64 `json:"Budget,omitempty"`
}

// Key returns the key of the replica that the intent is for.
func (intent Intent) Key() ReplicaKey {
	return ReplicaKey{Upstream: intent.Upstream, Model: intent.Model, Version: intent.Version}
}

// Order returns the order with a fencing number. It is always for the boot of the row, so that
// an engine that checks boots rejects the orders of the row after a restart.
func (intent Intent) Order(fence uint64) upstream.Order {
	return upstream.Order{
		ID:      intent.ID,
		Verb:    intent.Verb,
		Model:   intent.Model,
		Version: intent.Version,
		Memory:  intent.Memory,
		Role:    intent.Role,
		Fence:   fence,
		BootID:  intent.BootID,
	}
}
