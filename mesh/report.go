package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Report is what a daemon tells the holder of the lease.
type Report struct {
	// Name is the name of the daemon.
	Name string
	// Wants is what its requests want, and Loads where they are in flight.
	Wants []demand.KeyDemand
	Loads Loads
	// Fence and Revision name the announcement that it knows.
	Fence, Revision uint64
	// Wait is how long the answer may wait for a newer announcement.
	Wait time.Duration
	// OnlyAsk states that the report has no demand.
	OnlyAsk bool
	// Partial states that the report has only the wants that changed, and no loads.
	Partial bool
}

// perMille is the unit of rates on the wire.
const perMille = 1000

func (report *Report) encode(now time.Time) *meshpb.Report {
	encoded := &meshpb.Report{
		Name:     report.Name,
		Loads:    report.Loads.encode(),
		Fence:    report.Fence,
		Revision: report.Revision,
		Wait:     uint64(report.Wait.Milliseconds()),
		OnlyAsk:  report.OnlyAsk,
		Partial:  report.Partial,
	}
	for _, want := range report.Wants {
		encoded.Wants = append(encoded.Wants, &meshpb.Want{
			Service:   want.Service,
			Model:     want.Model,
			Adapter:   want.Adapter,
			Waiting:   uint32(want.Waiting),
			OldestAge: age(want.Oldest, now),
			Rate:      uint64(want.Rate * perMille),
			Tokens:    uint64(want.Tokens),
			Target:    uint64(want.Target.Milliseconds()),
			UsedAge:   age(want.LastArrival, now),
		})
	}
	return encoded
}

func decodeReport(encoded *meshpb.Report, now time.Time) Report {
	report := Report{
		Name:     encoded.GetName(),
		Loads:    decodeLoads(encoded.GetLoads()),
		Fence:    encoded.GetFence(),
		Revision: encoded.GetRevision(),
		Wait:     milliseconds(encoded.GetWait()),
		OnlyAsk:  encoded.GetOnlyAsk(),
		Partial:  encoded.GetPartial(),
	}
	for _, want := range encoded.GetWants() {
		decoded := demand.KeyDemand{
			Key:         demand.Key{Service: want.GetService(), Model: want.GetModel(), Adapter: want.GetAdapter()},
			Waiting:     int(want.GetWaiting()),
			Rate:        float64(want.GetRate()) / perMille,
			Tokens:      float64(want.GetTokens()),
			Target:      milliseconds(want.GetTarget()),
			LastArrival: now.Add(-milliseconds(want.GetUsedAge())),
		}
		if decoded.Waiting > 0 {
			decoded.Oldest = now.Add(-milliseconds(want.GetOldestAge()))
		}
		report.Wants = append(report.Wants, decoded)
	}
	return report
}

// age returns the milliseconds since the time, or zero if it is not set.
func age(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(at), 0).Milliseconds())
}

func milliseconds(count uint64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
