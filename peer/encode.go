package peer

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

// The codes of closed lists on the wire are positions in these lists.
var (
	phases = []upstream.Phase{upstream.Loading, upstream.Ready, upstream.Unloading, upstream.Failed}
	roles  = []upstream.Role{upstream.Mixed, upstream.Prefill, upstream.Decode}
)

// digest tells how much of the record is known.
func (record Record) digest() *peerpb.Digest {
	return &peerpb.Digest{Name: record.Name, Incarnation: record.Incarnation, Version: record.Version}
}

// difference returns the message that leads a receiver from the version since
// to the version held. A since that cannot be served gives the whole record.
func (held *held) difference(since uint64, now time.Time) *peerpb.Record {
	if since < held.floor || since > held.record.Version {
		since = 0
	}
	record := held.record
	message := &peerpb.Record{
		Name:        record.Name,
		Incarnation: record.Incarnation,
		Version:     record.Version,
		Since:       since,
		Age:         age(held.heard, now),
		InForce:     record.InForce,
		Leaving:     record.Leaving,
		Running:     uint32(record.Running),
		Waiting:     uint32(record.Waiting),
	}
	if since == 0 {
		message.Identity = encodeIdentity(record)
	}
	if since == 0 || held.suspectsAt > since {
		message.Suspects = encodeSuspects(record.Suspects, now)
	}
	if since == 0 || held.backlogsAt > since {
		message.Backlogs = encodeBacklogs(record.Backlogs)
	}
	for _, seen := range record.Observations {
		versions := held.parts[seen.State.Upstream]
		if since == 0 || versions.seen > since || versions.shape > since {
			whole := since == 0 || versions.shape > since
			message.Observations = append(message.Observations, encodeObservation(seen, whole, now))
		}
	}
	return message
}

func milliseconds(duration time.Duration) uint64 {
	return uint64(max(duration, 0) / time.Millisecond)
}

// age returns the milliseconds since a time, rounded up, so that nothing seems newer than it is.
func age(since, now time.Time) uint64 {
	return milliseconds(now.Sub(since) + time.Millisecond - 1)
}

func encodeIdentity(record Record) *peerpb.Identity {
	return &peerpb.Identity{
		DataCentre:    record.DataCentre,
		PeerAddress:   record.PeerAddress,
		CallerAddress: record.CallerAddress,
	}
}

func encodeSuspects(suspects []Suspect, now time.Time) *peerpb.Suspects {
	message := &peerpb.Suspects{}
	for _, suspect := range suspects {
		message.Suspects = append(message.Suspects, &peerpb.Suspect{
			Fingerprint: suspect.Fingerprint,
			Crashes:     encodeCrashes(suspect.Crashes),
			Remaining:   milliseconds(suspect.Until.Sub(now)),
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

func encodeObservation(seen Observation, whole bool, now time.Time) *peerpb.Observation {
	state := seen.State
	message := &peerpb.Observation{
		Upstream: state.Upstream,
		Sequence: state.Sequence,
		Age:      age(seen.Seen, now),
		Loads:    make([]uint32, 0, 2*len(state.Replicas)),
	}
	for _, replica := range state.Replicas {
		message.Loads = append(message.Loads, uint32(replica.Running), uint32(replica.Waiting))
	}
	if whole {
		message.Shape = encodeShape(state)
	}
	return message
}

func encodeShape(state upstream.State) *peerpb.Shape {
	shape := &peerpb.Shape{
		Boot:     state.BootID,
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
