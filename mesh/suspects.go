package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/quarantine"
)

// maxSuspects bounds the suspects that are accepted from one greeting.
const maxSuspects = 256

// maxSuspectCrashes bounds the crashes, the offset and the retracted ones, that are passed on for one suspect.
const maxSuspectCrashes = 8

// encodeSuspects encodes suspects with the time until they expire rather than an absolute time, since the
// clocks of daemons differ.
func encodeSuspects(suspects []quarantine.Suspect, now time.Time) []*meshpb.Suspect {
	encoded := make([]*meshpb.Suspect, 0, len(suspects))
	for _, suspect := range suspects {
		encoded = append(encoded, &meshpb.Suspect{
			Fingerprint: suspect.Fingerprint,
			Kind:        uint32(suspect.Kind),
			Remaining:   uint64(max(suspect.Until.Sub(now), 0).Milliseconds()),
			Crashes:     encodeCrashes(suspect.Crashes, suspect.Times, now),
			Cleared:     encodeCrashes(suspect.Cleared, nil, now),
			Retracted:   encodeCrashes(suspect.Retracted, nil, now),
		})
	}
	return encoded
}

// encodeCrashes encodes the latest crashes with the times at which they were seen, as far as these are given.
func encodeCrashes(crashes []quarantine.Crash, times []quarantine.CrashTime, now time.Time) []*meshpb.Crash {
	var encoded []*meshpb.Crash
	for index := max(len(crashes)-maxSuspectCrashes, 0); index < len(crashes); index++ {
		crash := crashes[index]
		next := &meshpb.Crash{Replica: crash.Upstream, Boot: crash.BootID, Sequence: uint32(crash.Sequence)}
		if index < len(times) && !times[index].At.IsZero() {
			next.Age = uint64(max(now.Sub(times[index].At), 0).Milliseconds()) + 1
			next.Silent = times[index].Silent
		}
		encoded = append(encoded, next)
	}
	return encoded
}

// decodeSuspects decodes suspects. Those of unknown kinds are skipped.
func decodeSuspects(encoded []*meshpb.Suspect, now time.Time) []quarantine.Suspect {
	suspects := make([]quarantine.Suspect, 0, len(encoded))
	for _, next := range encoded[:min(len(encoded), maxSuspects)] {
		if next.GetKind() > uint32(quarantine.PromptPart) {
			continue
		}
		suspects = append(suspects, quarantine.Suspect{
			Kind:        quarantine.Kind(next.GetKind()),
			Fingerprint: next.GetFingerprint(),
			Crashes:     decodeCrashes(next.GetCrashes()),
			Times:       decodeCrashTimes(next.GetCrashes(), now),
			Cleared:     decodeCrashes(next.GetCleared()),
			Retracted:   decodeCrashes(next.GetRetracted()),
			Until:       now.Add(min(milliseconds(next.GetRemaining()), quarantine.Retention)),
		})
	}
	return suspects
}

func decodeCrashes(encoded []*meshpb.Crash) []quarantine.Crash {
	var crashes []quarantine.Crash
	for _, crash := range encoded {
		crashes = append(crashes, quarantine.Crash{Upstream: crash.GetReplica(), BootID: crash.GetBoot(), Sequence: int(crash.GetSequence())})
	}
	return crashes
}

func decodeCrashTimes(encoded []*meshpb.Crash, now time.Time) []quarantine.CrashTime {
	var times []quarantine.CrashTime
	for _, crash := range encoded {
		seen := quarantine.CrashTime{Silent: crash.GetSilent()}
		if crash.GetAge() > 0 {
			seen.At = now.Add(-milliseconds(crash.GetAge() - 1))
		}
		times = append(times, seen)
	}
	return times
}
