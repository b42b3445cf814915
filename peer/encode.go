package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

// phases and roles list the values in the order of their codes in messages.
var (
	phases = []upstream.Phase{upstream.Loading, upstream.Ready, upstream.Unloading, upstream.Failed}
	roles  = []upstream.Role{upstream.Mixed, upstream.Prefill, upstream.Decode}
)

// digest returns the identity and version of the record.
func (record Record) digest() *peerpb.Digest {
	return &peerpb.Digest{Name: record.Name, Incarnation: record.Incarnation, Version: record.Version}
}

// difference returns the message that takes a receiver from version since to the current version of the record.
// It contains the full record if the difference from since is not known.
func (entry *entry) difference(since uint64, now time.Time) *peerpb.Record {
	if since < entry.oldestBase || since > entry.record.Version {
		since = 0
	}
	record := entry.record
	message := &peerpb.Record{
		Name:        record.Name,
		Incarnation: record.Incarnation,
		Version:     record.Version,
		Since:       since,
		Age:         ageMilliseconds(entry.lastSeen, now),
		InForce:     record.InForce,
		Leaving:     record.Leaving,
		Running:     uint32(record.Running),
		Waiting:     uint32(record.Waiting),
	}
	if since == 0 {
		message.Identity = encodeIdentity(record)
	}
	if since == 0 || entry.suspectsVersion > since {
		message.Suspects = encodeSuspects(record.Suspects, now)
	}
	if since == 0 || entry.backlogsVersion > since {
		message.Backlogs = encodeBacklogs(record.Backlogs)
	}
	for _, observation := range record.Observations {
		versions := entry.observationVersions[observation.State.Upstream]
		if since == 0 || versions.observation > since || versions.shape > since {
			full := since == 0 || versions.shape > since
			message.Observations = append(message.Observations, encodeObservation(observation, full, now))
		}
	}
	return message
}

func encodeDuration(duration time.Duration) uint64 {
	return uint64(max(duration, 0) / time.Millisecond)
}

// ageMilliseconds returns the milliseconds since a time. It rounds up, so that nothing appears newer than it is.
func ageMilliseconds(from, now time.Time) uint64 {
	return encodeDuration(now.Sub(from) + time.Millisecond - 1)
}

func encodeIdentity(record Record) *peerpb.Identity {
	return &peerpb.Identity{
		DataCentre:    record.DataCentre,
		PeerAddress:   record.PeerAddress,
		CallerAddress: record.CallerAddress,
		Build:         record.Build,
	}
}

func encodeSuspects(suspects []Suspect, now time.Time) *peerpb.Suspects {
	message := &peerpb.Suspects{}
	for _, suspect := range suspects {
		message.Suspects = append(message.Suspects, &peerpb.Suspect{
			Fingerprint: suspect.Fingerprint,
			Crashes:     encodeCrashes(suspect.Crashes),
			Remaining:   encodeDuration(suspect.Until.Sub(now)),
		})
	}
	return message
}

func encodeCrashes(crashes []Crash) []*peerpb.Crash {
	messages := make([]*peerpb.Crash, 0, len(crashes))
	for _, crash := range crashes {
		messages = append(messages, &peerpb.Crash{Upstream: crash.Upstream, Boot: crash.BootID})
	}
	return messages
}

func encodeBacklogs(backlogs []Backlog) *peerpb.Backlogs {
	message := &peerpb.Backlogs{}
	for _, backlog := range backlogs {
		message.Backlogs = append(message.Backlogs, &peerpb.Backlog{
			Tenant:  backlog.Tenant,
			Running: uint32(backlog.Running),
			Waiting: uint32(backlog.Waiting),
			Model:   backlog.Model,
		})
	}
	return message
}

func encodeObservation(observation Observation, full bool, now time.Time) *peerpb.Observation {
	state := observation.State
	message := &peerpb.Observation{
		Upstream: state.Upstream,
		Sequence: state.Sequence,
		Age:      ageMilliseconds(observation.Seen, now),
		Loads:    make([]uint32, 0, 2*len(state.Replicas)),
	}
	for _, replica := range state.Replicas {
		message.Loads = append(message.Loads, uint32(replica.Running), uint32(replica.Waiting))
	}
	if full {
		message.Shape = encodeShape(state)
	}
	return message
}

func encodeShape(state upstream.State) *peerpb.Shape {
	shape := &peerpb.Shape{
		Boot:     state.BootID,
		Release:  state.Release,
		Role:     uint32(max(slices.Index(roles, state.Role), 0)),
		Capacity: state.Capacity,
		Fence:    state.Fence,
		Leaving:  state.Leaving,
	}
	for _, replica := range state.Replicas {
		shape.Replicas = append(shape.Replicas, &peerpb.Replica{
			Model:    replica.Model,
			Version:  replica.Version,
			Order:    replica.Order,
			Phase:    uint32(max(slices.Index(phases, replica.Phase), 0)),
			Memory:   replica.Memory,
			Adapters: replica.Adapters,
		})
	}
	for _, key := range slices.Sorted(maps.Keys(state.Checkpoints)) {
		shape.Checkpoints = append(shape.Checkpoints, &peerpb.Checkpoint{Key: key, Tier: uint32(state.Checkpoints[key])})
	}
	return shape
}
