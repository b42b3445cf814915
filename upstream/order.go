package upstream

// Verb is the action that an order requests.
type Verb string

// The verbs. There are no others.
const (
	// Load loads a model.
	Load Verb = "Load"
	// Unload completes the requests of a replica and frees its memory.
	Unload Verb = "Unload"
	// LoadAdapter loads an adapter into a slot of a replica.
	LoadAdapter Verb = "LoadAdapter"
	// UnloadAdapter removes an adapter from its slot.
	UnloadAdapter Verb = "UnloadAdapter"
	// ChangeRole changes the role of the engine.
	ChangeRole Verb = "ChangeRole"
	// Touch only raises the fencing number that the engine has seen.
	Touch Verb = "Touch"
)

// Order is one order to an engine. An engine that receives the same order twice executes it once.
type Order struct {
	// ID is unique and never reused.
	ID string `json:"Id"`
	// Verb is the requested action.
	Verb Verb `json:"Verb"`
	// Model is the name of the model. Model, Version and Adapter identify the subject of the order.
	Model string `json:"Model,omitempty"`
	// Version is the version of Model, or of Adapter if that is set.
	Version string `json:"Version,omitempty"`
	// Adapter is the adapter of LoadAdapter and UnloadAdapter.
	Adapter string `json:"Adapter,omitempty"`
	// Memory is the accelerator memory in bytes that a loaded replica may use.
	Memory int64 `json:"Memory,omitempty"`
	// AdapterSlots is the number of adapters that a loaded replica may hold; zero means the engine's default.
	AdapterSlots int `json:"AdapterSlots,omitempty"`
	// Role is the new role of ChangeRole.
	Role Role `json:"Role,omitempty"`
	// Fence is the fencing number of the lease that was held when the order was decided.
	Fence uint64 `json:"Fence"`
	// BootID is the boot of the engine for which the order was decided; engines that check it refuse orders for
	// other boots.
	BootID string `json:"BootId"`
}

// Verdict is the response of an engine to an order.
type Verdict string

// The verdicts. There are no others.
const (
	// Accepted means that the engine executes the order or has executed it before.
	Accepted Verdict = "Accepted"
	// Fenced means that the engine has seen a higher fencing number.
	Fenced Verdict = "Fenced"
	// WrongBoot means that the engine was restarted after the order was decided.
	WrongBoot Verdict = "WrongBoot"
	// NoMemory means that the free accelerator memory does not suffice for the order.
	NoMemory Verdict = "NoMemory"
	// NoSubject means that the replica or adapter does not exist on the engine.
	NoSubject Verdict = "NoSubject"
	// EngineLeaving means that the engine shuts down and accepts no new work.
	EngineLeaving Verdict = "Leaving"
)

// known reports whether the verdict is one of the constants.
func (verdict Verdict) known() bool {
	switch verdict {
	case Accepted, Fenced, WrongBoot, NoMemory, NoSubject, EngineLeaving:
		return true
	default:
		return false
	}
}
