package upstream

// Verb is what an order asks for.
type Verb string

// The closed list of verbs.
const (
	// Load loads a model.
	Load Verb = "Load"
	// Unload finishes the requests of a replica and frees its memory.
	Unload Verb = "Unload"
	// LoadAdapter puts an adapter in a slot of a replica.
	LoadAdapter Verb = "LoadAdapter"
	// UnloadAdapter empties a slot.
	UnloadAdapter Verb = "UnloadAdapter"
	// ChangeRole changes the role of the engine.
	ChangeRole Verb = "ChangeRole"
	// Touch does nothing but raise the fencing number that the engine has seen.
	Touch Verb = "Touch"
)

// Order is one order to an engine. An engine that gets the same order twice does it once.
type Order struct {
	// ID is unique for ever.
	ID string `json:"Id"`
	// Verb is what the order asks for.
	Verb Verb `json:"Verb"`
	// Model, Version and Adapter name the subject.
	Model string `json:"Model,omitempty"`
	// Version is the version of Model, or of Adapter if that is set.
	Version string `json:"Version,omitempty"`
	// Adapter is the adapter of LoadAdapter and UnloadAdapter.
	Adapter string `json:"Adapter,omitempty"`
	// Memory is the accelerator memory in bytes that a loaded replica may hold.
	Memory int64 `json:"Memory,omitempty"`
	// AdapterSlots is the number of adapters that a loaded replica may hold; zero means the engine's default.
	AdapterSlots int `json:"AdapterSlots,omitempty"`
	// Role is the new role of ChangeRole.
	Role Role `json:"Role,omitempty"`
	// Fence is the fencing number of the lease under which the order was decided.
	Fence uint64 `json:"Fence"`
	// BootID is the boot of the engine for which the order was decided; engines that check it refuse others.
	BootID string `json:"BootId"`
}

// Verdict is the answer of an engine to an order.
type Verdict string

// The closed list of verdicts.
const (
	// Accepted states that the engine does the order, now or already before.
	Accepted Verdict = "Accepted"
	// Fenced states that the engine has seen a higher fencing number.
	Fenced Verdict = "Fenced"
	// WrongBoot states that the engine restarted since the order was decided.
	WrongBoot Verdict = "WrongBoot"
	// NoMemory states that the order does not fit.
	NoMemory Verdict = "NoMemory"
	// NoSubject states that the replica or adapter is not there.
	NoSubject Verdict = "NoSubject"
	// EngineLeaving states that the engine takes no new work.
	EngineLeaving Verdict = "Leaving"
)

// known reports whether the verdict is in the closed list.
func (verdict Verdict) known() bool {
	switch verdict {
	case Accepted, Fenced, WrongBoot, NoMemory, NoSubject, EngineLeaving:
		return true
	default:
		return false
	}
}
