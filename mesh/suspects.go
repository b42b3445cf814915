package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/quarantine"
)

// maxSuspects bounds the suspects that are accepted from one greeting.
const maxSuspects = 256

// encodeSuspects encodes suspects with the time until they expire rather than an absolute time, since the
// clocks of daemons differ.
func encodeSuspects(suspects []quarantine.Suspect, now time.Time) []*meshpb.Suspect {
	encoded := make([]*meshpb.Suspect, 0, len(suspects))
	for _, suspect := range suspects {
		next := &meshpb.Suspect{
			Fingerprint: suspect.Fingerprint,
			Remaining:   uint64(max(suspect.Until.Sub(now), 0).Milliseconds()),
		}
		for _, crash := range suspect.Crashes {
			next.Crashes = append(next.Crashes, &meshpb.Crash{
				Replica:  crash.Upstream,
				Boot:     crash.BootID,
				Sequence: uint32(crash.Sequence),
			})
		}
		encoded = append(encoded, next)
	}
	return encoded
}

func decodeSuspects(encoded []*meshpb.Suspect, now time.Time) []quarantine.Suspect {
	suspects := make([]quarantine.Suspect, 0, len(encoded))
	for _, next := range encoded[:min(len(encoded), maxSuspects)] {
		remaining := min(milliseconds(next.GetRemaining()), quarantine.Retention)
		suspect := quarantine.Suspect{Fingerprint: next.GetFingerprint(), Until: now.Add(remaining)}
		for _, crash := range next.GetCrashes() {
			suspect.Crashes = append(suspect.Crashes, quarantine.Crash{
				Upstream: crash.GetReplica(),
				BootID:   crash.GetBoot(),
				Sequence: int(crash.GetSequence()),
			})
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}
