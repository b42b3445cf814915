package topology

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one run of a replica's process.
type Incarnation struct {
	// ID is the name that the replica registered under. It may be reused after a restart.
	ID string
	// Started is the start of the process in Unix milliseconds; zero if unknown.
	Started int64 `unit:"milliseconds"`
}

// Replica is one replica as of its latest row in the store. It is immutable.
type Replica struct {
	Incarnation
	// Service is the name of its service.
	Service string
	// Address is the IP address and port. After the replica has ended, another service may use it.
	Address string
	// Zone is the data centre.
	Zone string
	// Release is the version of the replica's software; it is never empty. Streams of two releases cannot be joined.
	Release string
	// Draining is set if the replica accepts no new requests.
	Draining bool
	// Remaining is the time until the replica stops, from when the row was written; zero if unknown.
	Remaining time.Duration
	// ColdRemaining is the time for which the replica is slow after its start, from when the row was written; zero if it is not.
	ColdRemaining time.Duration
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// Holding is the content of an engine. Its fields Orders and Busy are not set, since a row does not have them.
	Holding Holding
	// ReceivedAt is when the row was received.
	ReceivedAt time.Time
}

// unnamedRelease begins the releases of replicas that name none. No release that a row names begins with it.
const unnamedRelease = "?"

// UnnamedRelease returns the release of an incarnation whose row names none. It equals that of no other incarnation.
func UnnamedRelease(incarnation Incarnation) string {
	return unnamedRelease + incarnation.ID + "@" + strconv.FormatInt(incarnation.Started, 10)
}

// IsReleaseName reports whether a row may name the text as the release of its replica.
func IsReleaseName(text string) bool {
	return text != "" && len(text) <= maxReleaseBytes && !strings.HasPrefix(text, unnamedRelease)
}

// maxReleaseBytes is the longest name of a release.
const maxReleaseBytes = 200

// maxRowAge is the largest age that the row of a replica may have when it is received.
const maxRowAge = 2500 * time.Millisecond

// MayPredate reports whether the row may have been written before the given time.
func (replica *Replica) MayPredate(at time.Time) bool {
	return replica.ReceivedAt.Sub(at) < maxRowAge
}

// IsCold reports whether the replica is slow after its start, according to its row.
func (replica *Replica) IsCold(now time.Time) bool {
	return now.Sub(replica.ReceivedAt) < replica.ColdRemaining
}

// Holding is the content of an engine at one moment.
type Holding struct {
	// Orders is the number of orders that the engine accepted since its start.
	Orders uint64
	// Busy is set while an order is in progress.
	Busy bool
	// Models lists the loaded models.
	Models []LoadedModel
	// Coming lists the adapters that are being loaded; they occupy adapter slots already.
	Coming []Adapter
	// InHost and OnDisk list the models with a copy of their weights in host memory and on disk.
	InHost, OnDisk []string
}

// Adapter identifies an adapter of a model.
type Adapter struct {
	// Model is the name of the model, and Name that of the adapter.
	Model, Name string
}

// LoadedModel is a model in accelerator memory.
type LoadedModel struct {
	// Model is the name of the model.
	Model string
	// Version is the version of the weights.
	Version int
	// Adapters lists the loaded adapters.
	Adapters []string
}

// Find returns the loaded model with the name, and false if it is not loaded.
func (holding *Holding) Find(model string) (LoadedModel, bool) {
	for _, loaded := range holding.Models {
		if loaded.Model == model {
			return loaded, true
		}
	}
	return LoadedModel{}, false
}

// SameModels reports whether both have the same models and adapters loaded. Versions and copies are not compared.
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

// Has reports whether the model is loaded and, if an adapter is given, that adapter too.
func (holding *Holding) Has(model, adapter string) bool {
	loaded, ok := holding.Find(model)
	return ok && (adapter == "" || slices.Contains(loaded.Adapters, adapter))
}

// AdapterCount returns the number of loaded adapters of all models.
func (holding *Holding) AdapterCount() int {
	count := 0
	for _, loaded := range holding.Models {
		count += len(loaded.Adapters)
	}
	return count
}
