package topology

import "time"

// Service is a group of replicas that serve the same requests.
type Service struct {
	// Name is unique in a configuration.
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all daemons together.
	MaxConnections int
	// Engine describes the model engines of the service; nil for a service without models.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of one service.
type EngineSpec struct {
	// Slots is the number of requests that one replica runs concurrently.
	Slots int
	// CacheTokens is the memory of one replica for prompts and generated text, in tokens.
	CacheTokens int
	// Memory is the accelerator memory of one replica for weights and adapters.
	Memory int64 `unit:"bytes"`
	// MaxAdapters is the number of adapters that one replica can keep loaded.
	MaxAdapters int
	// LoadsPerSecond is the permitted rate of loads from the weight store over all replicas.
	LoadsPerSecond float64
	// HostMemory and Disk bound the copies of weights that one replica keeps.
	HostMemory, Disk int64 `unit:"bytes"`
	// Models maps names to models.
	Models map[string]Model
}

// Model is a model that the engines of a service can load.
type Model struct {
	// Name is unique in its service.
	Name string
	// Weights is the accelerator memory that the weights need.
	Weights int64 `unit:"bytes"`
	// Adapters is the number of adapters of the model.
	Adapters int
	// AdapterBytes is the accelerator memory of one adapter.
	AdapterBytes int64 `unit:"bytes"`
	// StoreLoad, DiskLoad and HostLoad are the load times from the weight store, from disk and from host memory.
	StoreLoad, DiskLoad, HostLoad time.Duration
}
