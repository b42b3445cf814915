package intent

import "github.com/bronzestall/bronzestall/upstream"

// Intent is one order as written before it is sent.
type Intent struct {
	// ID is unique for ever and is the identifier of the order.
	ID string `json:"Id"`
	// Upstream is the name of the engine's VM.
	Upstream string `json:"Upstream"`
	// BootID is the boot of the engine for which it was decided.
	BootID string `json:"BootId"`
	// Verb is what the order asks for.
	Verb upstream.Verb `json:"Verb"`
	// Model and Version name the subject.
	Model string `json:"Model,omitempty"`
	// Version is the version of the weights.
	Version string `json:"Version,omitempty"`
	// Memory is the accelerator memory in bytes that is charged for a Load.
	Memory int64 `json:"Memory,omitempty"`
	// Role is the new role of a ChangeRole.
	Role upstream.Role `json:"Role,omitempty"`
	// Fence is the fencing number of the lease under which it was decided.
	Fence uint64 `json:"Fence"`
	// Sender is the process that may send the order.
	Sender Sender `json:"Sender"`
	// Tier is where a Load takes the checkpoint from.
	Tier upstream.Tier `json:"Tier,omitempty"`
	// Budget is the fencing number of the former holder whose budget covers the replica, or zero.
	Budget uint64 `json:"Budget,omitempty"`
}

// Key names the replica on an upstream that the intent stands for.
func (intent Intent) Key() ReplicaKey {
	return ReplicaKey{Upstream: intent.Upstream, Model: intent.Model, Version: intent.Version}
}

// Order returns the order under a fencing number. It is always for the boot of the row, so that
// an engine that checks boots takes none of the orders of the row after a restart.
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
