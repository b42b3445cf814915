package upstream

import "time"

// State is what an engine says of itself. The load in it lags.
type State struct {
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// BootID differs after every restart of the engine.
	BootID string `json:"BootId"`
	// Sequence rises with every report of one boot.
	Sequence uint64 `json:"Sequence"`
	// Taken is the engine's own time of the report.
	Taken time.Time `json:"Taken"`
	// Role is the role in force.
	Role Role `json:"Role"`
	// Capacity is the accelerator memory in bytes.
	Capacity int64 `json:"Capacity"`
	// Replicas are the replicas in any phase.
	Replicas []Replica `json:"Replicas"`
	// Checkpoints tells for "model@version" the fastest tier that has it; absent means Remote.
	Checkpoints map[string]Tier `json:"Checkpoints,omitempty"`
	// Fence is the highest fencing number seen; an engine that ignores fencing says zero.
	Fence uint64 `json:"Fence"`
	// Leaving states that the engine takes no new work.
	Leaving bool `json:"Leaving"`
}

// CheckpointKey returns the key of State.Checkpoints.
func CheckpointKey(model, version string) string {
	return model + "@" + version
}
