package upstream

import "time"

// State is the state that an engine reports. The load in it may be out of date.
type State struct {
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// BootID identifies the boot; it changes with every restart of the engine.
	BootID string `json:"BootId"`
	// Release is the release of the software of the engine, or empty if it names none. Text of two releases cannot be joined.
	Release string `json:"Release,omitempty"`
	// Sequence increases with every report of one boot.
	Sequence uint64 `json:"Sequence"`
	// Taken is the time of the report by the clock of the engine.
	Taken time.Time `json:"Taken"`
	// Role is the current role of the engine.
	Role Role `json:"Role"`
	// Capacity is the total accelerator memory in bytes.
	Capacity int64 `json:"Capacity"`
	// Replicas lists the replicas in all phases.
	Replicas []Replica `json:"Replicas"`
	// Checkpoints maps "model@version" to the fastest tier that holds the checkpoint; a missing key means Remote.
	Checkpoints map[string]Tier `json:"Checkpoints,omitempty"`
	// Fence is the highest fencing number that the engine has seen; zero if the engine ignores fencing.
	Fence uint64 `json:"Fence"`
	// Leaving states that the engine shuts down and accepts no new work.
	Leaving bool `json:"Leaving"`
}

// CheckpointKey returns the key of a model version in State.Checkpoints.
func CheckpointKey(model, version string) string {
	return model + "@" + version
}
