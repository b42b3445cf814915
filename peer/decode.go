package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

// apply returns the record that the message leads to from last. It reports
// false if the message is a difference from a version that is not there.
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

// longestAge is the largest age that a message can tell of.
const longestAge = 365 * 24 * time.Hour

func duration(milliseconds uint64) time.Duration {
	return units(milliseconds, time.Millisecond)
}

// units returns that many units, at most the longest age.
func units(count uint64, unit time.Duration) time.Duration {
	return time.Duration(min(count, uint64(longestAge/unit))) * unit
}

func decodeSuspects(message *peerpb.Suspects, now time.Time) []Suspect {
	var suspects []Suspect
	for _, suspect := range message.GetSuspects() {
		suspects = append(suspects, Suspect{
			Fingerprint: suspect.GetFingerprint(),
			Crashes:     decodeCrashes(suspect.GetCrashes()),
			Until:       now.Add(duration(suspect.GetRemaining())),
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

// mergeObservations returns a new list with those of the message in place of the former ones.
func mergeObservations(last []Observation, messages []*peerpb.Observation, now time.Time) []Observation {
	if len(messages) == 0 {
		return last
	}
	merged := append(make([]Observation, 0, len(last)+len(messages)), last...)
	places := make(map[string]int, len(last))
	for place, seen := range merged {
		places[seen.State.Upstream] = place
	}
	for _, message := range messages {
		place, ok := places[message.GetUpstream()]
		if !ok {
			if message.GetShape() == nil {
				continue
			}
			place = len(merged)
			places[message.GetUpstream()] = place
			merged = append(merged, Observation{})
		}
		merged[place] = decodeObservation(merged[place].State, message, now)
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
		for place := range state.Replicas {
			state.Replicas[place].Running = int(loads[2*place])
			state.Replicas[place].Waiting = int(loads[2*place+1])
		}
	}
	return Observation{Seen: now.Add(-duration(message.GetAge())), State: state}
}

func decodeShape(shape *peerpb.Shape) upstream.State {
	state := upstream.State{
		BootID:   shape.GetBoot(),
		Role:     at(roles, shape.GetRole()),
		Capacity: shape.GetCapacity(),
		Fence:    shape.GetFence(),
		Leaving:  shape.GetLeaving(),
	}
	for _, replica := range shape.GetReplicas() {
		state.Replicas = append(state.Replicas, upstream.Replica{
			Model:    replica.GetModel(),
			Version:  replica.GetVersion(),
			Order:    replica.GetOrder(),
			Phase:    at(phases, replica.GetPhase()),
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

// at returns the entry of a closed list, or the first for a code of a later release.
func at[T any](list []T, code uint32) T {
	if int(code) >= len(list) {
		return list[0]
	}
	return list[code]
}
