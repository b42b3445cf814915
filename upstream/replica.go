package upstream

// Replica is one model loaded, or being loaded, on an engine. An engine holds
// at most one replica of one model and version.
type Replica struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Version is the version of the weights.
	Version string `json:"Version"`
	// Order is the identifier of the order that loaded the replica.
	Order string `json:"Order"`
	// Phase tells whether it serves.
	Phase Phase `json:"Phase"`
	// Memory is the accelerator memory in bytes that the replica holds.
	Memory int64 `json:"Memory"`
	// Adapters names the adapters in its slots.
	Adapters []string `json:"Adapters,omitempty"`
	// Running is the number of requests in the batch.
	Running int `json:"Running"`
	// Waiting is the number of requests before the batch.
	Waiting int `json:"Waiting"`
}
