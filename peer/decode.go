package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

// apply returns the record that results from applying the message to last. It reports false if the message is a
// difference from a version later than that of last.
func apply(last Record, message *peerpb.Record, now time.Time) (Record, bool) {
	if message.GetSince() > last.Version || message.GetIdentity() == nil && last.Name == "" {
		return Record{}, false
	}
	next := last
	if message.GetSince() == 0 {
		next = Record{}
	}
	next.Name = message.GetName()
	next.Incarnation = message.GetIncarnation()
	next.Version = message.GetVersion()
	next.InForce = message.GetInForce()
	next.Leaving = message.GetLeaving()
	next.Running = int(message.GetRunning())
	next.Waiting = int(message.GetWaiting())
	if identity := message.GetIdentity(); identity != nil {
		next.DataCentre = identity.GetDataCentre()
		next.PeerAddress = identity.GetPeerAddress()
		next.CallerAddress = identity.GetCallerAddress()
		next.Build = identity.GetBuild()
	}
	if suspects := message.GetSuspects(); suspects != nil {
		next.Suspects = decodeSuspects(suspects, now)
	}
	if backlogs := message.GetBacklogs(); backlogs != nil {
		next.Backlogs = decodeBacklogs(backlogs)
	}
	next.Observations = mergeObservations(next.Observations, message.GetObservations(), now)
	return next, true
}

// maxAge bounds the ages and durations that are decoded from messages.
const maxAge = 365 * 24 * time.Hour

func decodeDuration(milliseconds uint64) time.Duration {
	return durationOf(milliseconds, time.Millisecond)
}

// durationOf returns the number of units as a duration, at most maxAge.
func durationOf(count uint64, unit time.Duration) time.Duration {
	return time.Duration(min(count, uint64(maxAge/unit))) * unit
}

func decodeSuspects(message *peerpb.Suspects, now time.Time) []Suspect {
	var suspects []Suspect
	for _, suspect := range message.GetSuspects() {
		suspects = append(suspects, Suspect{
			Fingerprint: suspect.GetFingerprint(),
			Crashes:     decodeCrashes(suspect.GetCrashes()),
			Until:       now.Add(decodeDuration(suspect.GetRemaining())),
		})
	}
	return suspects
}

func decodeCrashes(messages []*peerpb.Crash) []Crash {
	crashes := make([]Crash, 0, len(messages))
	for _, message := range messages {
		crashes = append(crashes, Crash{Upstream: message.GetUpstream(), BootID: message.GetBoot()})
	}
	return crashes
}

func decodeBacklogs(message *peerpb.Backlogs) []Backlog {
	var backlogs []Backlog
	for _, backlog := range message.GetBacklogs() {
		backlogs = append(backlogs, Backlog{
			Tenant:  backlog.GetTenant(),
			Running: int(backlog.GetRunning()),
			Waiting: int(backlog.GetWaiting()),
			Model:   backlog.GetModel(),
		})
	}
	return backlogs
}

// mergeObservations returns a new list in which the observations of the message replace or extend those of last.
func mergeObservations(last []Observation, messages []*peerpb.Observation, now time.Time) []Observation {
	if len(messages) == 0 {
		return last
	}
	merged := append(make([]Observation, 0, len(last)+len(messages)), last...)
	indexes := make(map[string]int, len(last))
	for index, observation := range merged {
		indexes[observation.State.Upstream] = index
	}
	for _, message := range messages {
		index, ok := indexes[message.GetUpstream()]
		if !ok {
			if message.GetShape() == nil {
				continue
			}
			index = len(merged)
			indexes[message.GetUpstream()] = index
			merged = append(merged, Observation{})
		}
		merged[index] = decodeObservation(merged[index].State, message, now)
	}
	return merged
}

func decodeObservation(state upstream.State, message *peerpb.Observation, now time.Time) Observation {
	if shape := message.GetShape(); shape != nil {
		state = decodeShape(shape)
	}
	state.Upstream = message.GetUpstream()
	state.Sequence = message.GetSequence()
	state.Replicas = append([]upstream.Replica(nil), state.Replicas...)
	if loads := message.GetLoads(); len(loads) == 2*len(state.Replicas) {
		for index := range state.Replicas {
			state.Replicas[index].Running = int(loads[2*index])
			state.Replicas[index].Waiting = int(loads[2*index+1])
		}
	}
	return Observation{Seen: now.Add(-decodeDuration(message.GetAge())), State: state}
}

func decodeShape(shape *peerpb.Shape) upstream.State {
	state := upstream.State{
		BootID:   shape.GetBoot(),
		Release:  shape.GetRelease(),
		Role:     entryOrFirst(roles, shape.GetRole()),
		Capacity: shape.GetCapacity(),
		Fence:    shape.GetFence(),
		Leaving:  shape.GetLeaving(),
	}
	for _, replica := range shape.GetReplicas() {
		state.Replicas = append(state.Replicas, upstream.Replica{
			Model:    replica.GetModel(),
			Version:  replica.GetVersion(),
			Order:    replica.GetOrder(),
			Phase:    entryOrFirst(phases, replica.GetPhase()),
			Memory:   replica.GetMemory(),
			Adapters: replica.GetAdapters(),
		})
	}
	if len(shape.GetCheckpoints()) > 0 {
		state.Checkpoints = make(map[string]upstream.Tier, len(shape.GetCheckpoints()))
	}
	for _, checkpoint := range shape.GetCheckpoints() {
		state.Checkpoints[checkpoint.GetKey()] = upstream.Tier(min(checkpoint.GetTier(), uint32(upstream.Memory)))
	}
	return state
}

// entryOrFirst returns the entry of the list at the code. For a code of a later release, which is beyond the
// list, it returns the first entry.
func entryOrFirst[T any](list []T, code uint32) T {
	if int(code) >= len(list) {
		return list[0]
	}
	return list[code]
}
