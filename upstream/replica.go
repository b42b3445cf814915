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
	// Phase is the phase of the replica; only a Ready one serves requests.
	Phase Phase `json:"Phase"`
	// Memory is the accelerator memory in bytes that the replica holds.
	Memory int64 `json:"Memory"`
	// Adapters lists the adapters in the slots of the replica.
	Adapters []string `json:"Adapters,omitempty"`
	// Running is the number of requests in the current batch.
	Running int `json:"Running"`
	// Waiting is the number of requests that wait to join the batch.
	Waiting int `json:"Waiting"`
}
