package enginefake

import "time"

// Settings configures an engine.
type Settings struct {
	// Name is the name of the VM.
	Name string
	// Capacity is the accelerator memory in bytes.
	Capacity int64
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// ChecksBoot makes the engine reject orders for another boot.
	ChecksBoot bool
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// UnloadTime is how long an unload takes.
	UnloadTime time.Duration
	// OnLoad, unless nil, is called with the name of the engine, the model and the version whenever a load begins.
	OnLoad func(name, model, version string)
}
