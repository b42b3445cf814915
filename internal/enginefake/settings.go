package enginefake

import "time"

// Settings tells what kind of engine it is.
type Settings struct {
	// Name is the name of the VM.
	Name string
	// Capacity is the accelerator memory in bytes.
	Capacity int64
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool
	// ChecksBoot makes it refuse orders for another boot.
	ChecksBoot bool
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// UnloadTime is how long an unload takes.
	UnloadTime time.Duration
	// OnLoad is called with the engine's name and the order whenever a load begins, or nil.
	OnLoad func(name, model, version string)
}
