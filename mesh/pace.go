package mesh

import (
	"math"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// windowParts is the number of parts of a request in which windows are announced.
const windowParts = 10

// encodeSums encodes the observations of replicas.
func encodeSums(sums map[topology.Incarnation]pace.Sums) []*meshpb.Pace {
	encoded := make([]*meshpb.Pace, 0, len(sums))
	for replica, observed := range sums {
		next := &meshpb.Pace{
			Place:    &meshpb.Place{Replica: replica.ID, Born: replica.Started, Service: observed.Service},
			Slots:    uint32(observed.Slots),
			Gaps:     encodeRegression(&observed.Gaps),
			Starts:   encodeRegression(&observed.Starts),
			Outcomes: []uint32{uint32(observed.Good), uint32(observed.Late), uint32(observed.Rejected), uint32(observed.Failed)},
		}
		for _, pauses := range observed.Pauses {
			if pauses.Target > 0 {
				next.Pauses = append(next.Pauses, &meshpb.PauseCount{
					Target: uint64(pauses.Target.Milliseconds()), Streams: uint32(pauses.Streams), Late: uint32(pauses.Late),
				})
			}
		}
		encoded = append(encoded, next)
	}
	return encoded
}

// decodeSums decodes the observations of replicas; nil if there are none.
func decodeSums(encoded []*meshpb.Pace) map[topology.Incarnation]pace.Sums {
	if len(encoded) == 0 {
		return nil
	}
	decoded := make(map[topology.Incarnation]pace.Sums, len(encoded))
	for _, observed := range encoded {
		next := pace.Sums{
			Service: observed.GetPlace().GetService(),
			Slots:   int(observed.GetSlots()),
			Gaps:    decodeRegression(observed.GetGaps()),
			Starts:  decodeRegression(observed.GetStarts()),
		}
		for index, pauses := range observed.GetPauses() {
			if index < pace.MaxTargets {
				next.Pauses[index] = pace.Pauses{
					Target: milliseconds(pauses.GetTarget()), Streams: float64(pauses.GetStreams()), Late: float64(pauses.GetLate()),
				}
			}
		}
		for index, field := range []*float64{&next.Good, &next.Late, &next.Rejected, &next.Failed} {
			if index < len(observed.GetOutcomes()) {
				*field = float64(observed.GetOutcomes()[index])
			}
		}
		decoded[decodeIncarnation(observed.GetPlace())] = next
	}
	return decoded
}

// encodeRegression encodes the sums in thousandths; none if there is no observation. No observation is negative.
func encodeRegression(regression *pace.Regression) []uint64 {
	if regression.Count == 0 {
		return nil
	}
	encoded := make([]uint64, 0, 6)
	for _, sum := range []float64{regression.Count, regression.X, regression.Y, regression.XX, regression.XY, regression.YY} {
		encoded = append(encoded, uint64(math.Round(max(sum, 0)*perMille)))
	}
	return encoded
}

// decodeRegression decodes the sums. Those that no observations have count as none.
func decodeRegression(encoded []uint64) pace.Regression {
	var decoded pace.Regression
	fields := []*float64{&decoded.Count, &decoded.X, &decoded.Y, &decoded.XX, &decoded.XY, &decoded.YY}
	if len(encoded) < len(fields) {
		return pace.Regression{}
	}
	for index, field := range fields {
		*field = float64(encoded[index]) / perMille
	}
	return decoded
}

// encodeValue encodes what is known of the pace of a replica into its load.
func encodeValue(value pace.Value, load *meshpb.Load) {
	load.Speed = uint32(math.Round(value.Speed * perMille))
	load.Window = uint32(math.Ceil(value.Window * windowParts))
	load.Cause = uint32(value.Cause)
	for _, chance := range value.Chances {
		if chance.Target > 0 {
			load.Chances = append(load.Chances, &meshpb.LateChance{
				Target: uint64(chance.Target.Milliseconds()), Late: uint32(math.Round((1 + chance.Late) * perMille)),
			})
		}
	}
}

// decodeValues decodes what is known of the paces of replicas, without those that do not differ from others.
func decodeValues(loads []*meshpb.Load) map[topology.Incarnation]pace.Value {
	decoded := map[topology.Incarnation]pace.Value{}
	for _, load := range loads {
		value := pace.Value{
			Speed:  float64(load.GetSpeed()) / perMille,
			Window: float64(load.GetWindow()) / windowParts,
			Cause:  pace.Cause(load.GetCause()),
		}
		for index, chance := range load.GetChances() {
			if index < pace.MaxTargets {
				value.Chances[index] = pace.Chance{Target: milliseconds(chance.GetTarget()), Late: float64(chance.GetLate())/perMille - 1}
			}
		}
		if !value.IsZero() {
			decoded[decodeIncarnation(load.GetPlace())] = value
		}
	}
	return decoded
}
