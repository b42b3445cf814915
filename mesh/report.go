package mesh

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// Report is what a daemon reports to the lease holder.
type Report struct {
	// Name is the name of the daemon.
	Name string
	// Demand is the demand of its requests by model or adapter, and InFlight the number in flight by replica.
	Demand   []demand.KeyDemand
	InFlight InFlightCounts
	// Paces has the observations since the last full report, by replica.
	Paces map[topology.Incarnation]pace.Sums
	// Fence and Revision identify the last announcement that it received.
	Fence, Revision uint64
	// Wait is the longest time that the response is delayed until there is a newer announcement.
	Wait time.Duration
	// PollOnly is set if the report has no demand and only requests the announcement.
	PollOnly bool
	// Partial is set if Demand has only the entries that changed, and InFlight is empty.
	Partial bool
}

// perMille is the factor by which rates are multiplied in messages.
const perMille = 1000

func (report *Report) encode(now time.Time) *meshpb.Report {
	encoded := &meshpb.Report{
		Name:     report.Name,
		Loads:    report.InFlight.encode(),
		Fence:    report.Fence,
		Revision: report.Revision,
		Wait:     uint64(report.Wait.Milliseconds()),
		OnlyAsk:  report.PollOnly,
		Partial:  report.Partial,
		Paces:    encodeSums(report.Paces),
	}
	for _, entry := range report.Demand {
		encoded.Wants = append(encoded.Wants, &meshpb.Want{
			Service:   entry.Service,
			Model:     entry.Model,
			Adapter:   entry.Adapter,
			Waiting:   uint32(entry.Waiting),
			OldestAge: ageMilliseconds(entry.Oldest, now),
			Rate:      uint64(entry.Rate * perMille),
			Tokens:    uint64(entry.Tokens),
			Target:    uint64(entry.Target.Milliseconds()),
			UsedAge:   ageMilliseconds(entry.LastArrival, now),
			Refused:   uint64(entry.Refused * perMille),
			Recent:    1 + uint64(max(entry.Rate+entry.Rise, 0)*perMille),
		})
	}
	return encoded
}

func decodeReport(encoded *meshpb.Report, now time.Time) Report {
	report := Report{
		Name:     encoded.GetName(),
		InFlight: decodeInFlightCounts(encoded.GetLoads()),
		Fence:    encoded.GetFence(),
		Revision: encoded.GetRevision(),
		Wait:     min(milliseconds(encoded.GetWait()), maxWait),
		PollOnly: encoded.GetOnlyAsk(),
		Partial:  encoded.GetPartial(),
		Paces:    decodeSums(encoded.GetPaces()),
	}
	for _, entry := range encoded.GetWants() {
		decoded := demand.KeyDemand{
			Key:         demand.Key{Service: entry.GetService(), Model: entry.GetModel(), Adapter: entry.GetAdapter()},
			Waiting:     int(entry.GetWaiting()),
			Rate:        float64(entry.GetRate()) / perMille,
			Tokens:      float64(entry.GetTokens()),
			Refused:     float64(entry.GetRefused()) / perMille,
			Target:      milliseconds(entry.GetTarget()),
			LastArrival: now.Add(-milliseconds(entry.GetUsedAge())),
		}
		if recent := entry.GetRecent(); recent > 0 {
			decoded.Rise = float64(recent-1)/perMille - decoded.Rate
		}
		if decoded.Waiting > 0 {
			decoded.Oldest = now.Add(-milliseconds(entry.GetOldestAge()))
		}
		report.Demand = append(report.Demand, decoded)
	}
	return report
}

// ageMilliseconds returns the milliseconds since the time, or zero if it is not set.
func ageMilliseconds(at, now time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(at), 0).Milliseconds())
}

// maxMilliseconds is the largest number of milliseconds that a duration holds.
const maxMilliseconds = math.MaxInt64 / uint64(time.Millisecond)

// milliseconds returns the duration of so many milliseconds, or the longest if they are too many.
func milliseconds(count uint64) time.Duration {
	return time.Duration(min(count, maxMilliseconds)) * time.Millisecond
}
