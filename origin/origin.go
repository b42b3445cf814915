package origin

import "time"

// Retention is how long an origin is remembered, and how long a release counts after its last replica has left: longer than
// a client goes on with one stream.
const Retention = 90 * time.Second

// MaxIDBytes is the longest ID of an attempt whose origin is remembered.
const MaxIDBytes = 128

// Origin is what began a stream.
type Origin struct {
	// Service is the name of the service, and Release the version of the software of its replica.
	Service, Release string
}

// Stream is the origin of one stream.
type Stream struct {
	Origin
	// ID is the ID of the attempt that brought the first event to the client.
	ID string
}

// Releases maps services to their releases, in ascending order.
type Releases map[string][]string

// Sightings maps services to their releases, each with the time since it last served as far as is known.
type Sightings map[string]map[string]time.Duration

// Add adds a sighting.
func (sightings Sightings) Add(service, release string, age time.Duration) {
	if sightings[service] == nil {
		sightings[service] = map[string]time.Duration{}
	}
	sightings[service][release] = age
}

// Sightings returns the releases as seen just now.
func (releases Releases) Sightings() Sightings {
	sightings := Sightings{}
	for service, names := range releases {
		for _, release := range names {
			sightings.Add(service, release, 0)
		}
	}
	return sightings
}

// Source is how the origin of a stream is known.
type Source string

// The sources, from the nearest one.
const (
	// Only means that no other release can have begun the stream.
	Only Source = "Only"
	// Own means that this daemon passed the first event on, or has looked the origin up before.
	Own Source = "Own"
	// Daemon means that another daemon told it.
	Daemon Source = "Daemon"
	// Store means that it was recorded in the store.
	Store Source = "Store"
	// Unknown means that the origin is not known, or that two were named.
	Unknown Source = "Unknown"
)
