package mesh

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/origin"
)

const (
	// originTimeout bounds a question for origins: a client waits for it.
	originTimeout = 250 * time.Millisecond
	// MaxOriginQuery is the largest number of attempts in one question for origins.
	MaxOriginQuery = 512
)

// OriginQuery asks for the origins of streams.
type OriginQuery struct {
	// Attempts lists the attempts that began them, of which there are at most MaxOriginQuery.
	Attempts []string
	// Confirm makes the daemon read the table of replicas before it responds.
	Confirm bool
}

// OriginAnswer is what a daemon knows of the origins of streams.
type OriginAnswer struct {
	// Streams lists those of the streams asked for that it knows.
	Streams []origin.Stream
	// Lately lists the releases that serve or did lately.
	Lately origin.Sightings
	// Complete states that the daemon has read what is recorded in the store.
	Complete bool
	// Confirmed states that it has read the table of replicas since the query came, and knows all releases that served lately.
	Confirmed bool
}

// FindOrigins asks the daemon at the address which releases began the streams of the attempts.
func (node *Node) FindOrigins(ctx context.Context, address string, query OriginQuery) (OriginAnswer, error) {
	encoded := &meshpb.OriginQuery{Attempts: query.Attempts, Confirm: query.Confirm}
	response, err := call[meshpb.OriginQuery, meshpb.OriginAnswer](ctx, node, address, originsProcedure, encoded, originTimeout)
	if err != nil {
		return OriginAnswer{}, err
	}
	answer := OriginAnswer{Lately: origin.Sightings{}, Complete: response.GetComplete(), Confirmed: response.GetConfirmed()}
	for _, stream := range response.GetStreams() {
		began := origin.Origin{Service: stream.GetService(), Release: stream.GetRelease()}
		answer.Streams = append(answer.Streams, origin.Stream{Origin: began, ID: stream.GetAttempt()})
	}
	for _, service := range response.GetServices() {
		addSightings(answer.Lately, service)
	}
	return answer, nil
}

// addSightings adds the releases of a service. Those without an age count as seen just now.
func addSightings(sightings origin.Sightings, service *meshpb.ServiceReleases) {
	ages := service.GetAges()
	for index, release := range service.GetReleases() {
		age := time.Duration(0)
		if index < len(ages) {
			age = max(milliseconds(ages[index]), 0)
		}
		sightings.Add(service.GetService(), release, age)
	}
}

// serveOrigins responds to the question of another daemon.
func (node *Node) serveOrigins(ctx context.Context, query *meshpb.OriginQuery) (*meshpb.OriginAnswer, error) {
	attempts := query.GetAttempts()
	answer := node.deps.Origins(ctx, OriginQuery{Attempts: attempts[:min(len(attempts), MaxOriginQuery)], Confirm: query.GetConfirm()})
	encoded := &meshpb.OriginAnswer{Complete: answer.Complete, Confirmed: answer.Confirmed}
	for _, stream := range answer.Streams {
		encoded.Streams = append(encoded.Streams, &meshpb.StreamOrigin{Attempt: stream.ID, Service: stream.Service, Release: stream.Release})
	}
	for service, releases := range answer.Lately {
		seen := &meshpb.ServiceReleases{Service: service}
		for release, age := range releases {
			seen.Releases = append(seen.Releases, release)
			seen.Ages = append(seen.Ages, uint64(age.Milliseconds()))
		}
		encoded.Services = append(encoded.Services, seen)
	}
	return encoded, nil
}
