package topology

import (
	"slices"
	"time"
)

// Incarnation names one run of a replica.
type Incarnation struct {
	// ID is the name that the replica registered under; it may be used again after a restart.
	ID string
	// Started is the start of the run in Unix milliseconds; zero if it is not told.
	Started int64 `unit:"milliseconds"`
}

// Replica is one replica as it last described itself. It is immutable.
type Replica struct {
	Incarnation
	// Service is the name of the service that it belongs to.
	Service string
	// Address is the IP address and port. After a replica ended, another service may use it.
	Address string
	// Zone is the data centre.
	Zone string
	// Draining states that it takes no new request.
	Draining bool
	// Remaining is the time until it is gone, counted from the description; zero if that is not told.
	Remaining time.Duration
	// Slots is the number of requests that it runs at once.
	Slots int
	// Holding is what it has loaded; Orders and Busy are not known from a description.
	Holding Holding
	// ReceivedAt is when the description was received.
	ReceivedAt time.Time
}

// Holding is what an engine has loaded, as of one moment.
type Holding struct {
	// Orders is the number of orders that the engine accepted since its start.
	Orders uint64
	// Busy states that an order is being carried out.
	Busy bool
	// Models lists the loaded models.
	Models []LoadedModel
	// Coming lists adapters of loaded models that are on their way; they take places already.
	Coming []Adapter
	// InHost and OnDisk list the models of which it has copies of the weights.
	InHost, OnDisk []string
}

// Adapter names an adapter of a model.
type Adapter struct {
	// Model is the model, and Name the adapter.
	Model, Name string
}

// LoadedModel is one loaded model.
type LoadedModel struct {
	// Model is its name.
	Model string
	// Version is the version of the weights.
	Version int
	// Adapters lists the loaded adapters.
	Adapters []string
}

// Find returns the loaded model of the name.
func (holding *Holding) Find(model string) (LoadedModel, bool) {
	for _, loaded := range holding.Models {
		if loaded.Model == model {
			return loaded, true
		}
	}
	return LoadedModel{}, false
}

// SameModels reports whether both hold the same models and adapters.
func (holding *Holding) SameModels(other *Holding) bool {
	if len(holding.Models) != len(other.Models) {
		return false
	}
	for _, loaded := range holding.Models {
		found, ok := other.Find(loaded.Model)
		if !ok || len(found.Adapters) != len(loaded.Adapters) {
			return false
		}
		for _, adapter := range loaded.Adapters {
			if !slices.Contains(found.Adapters, adapter) {
				return false
			}
		}
	}
	return true
}

// Has reports whether the model is loaded, and the adapter too unless that is empty.
func (holding *Holding) Has(model, adapter string) bool {
	loaded, ok := holding.Find(model)
	return ok && (adapter == "" || slices.Contains(loaded.Adapters, adapter))
}

// AdapterCount returns the number of loaded adapters over all models.
func (holding *Holding) AdapterCount() int {
	count := 0
	for _, loaded := range holding.Models {
		count += len(loaded.Adapters)
	}
	return count
}
