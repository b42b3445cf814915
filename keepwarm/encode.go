package keepwarm

import (
	"github.com/bronzestall/bronzestall/keepwarm/statisticspb"
)

func (ages *ages) encode() *statisticspb.Ages {
	message := &statisticspb.Ages{}
	for class := range ageClasses {
		if ages.ends[class] == 0 && ages.risk[class] == 0 {
			continue
		}
		message.Classes = append(message.Classes, uint32(class))
		message.Ends = append(message.Ends, ages.ends[class])
		message.Risk = append(message.Risk, ages.risk[class])
	}
	return message
}

// decodeAges ignores classes that this release does not know.
func decodeAges(message *statisticspb.Ages) ages {
	var ages ages
	ends, risk := message.GetEnds(), message.GetRisk()
	for index, class := range message.GetClasses() {
		if class >= ageClasses || index >= len(ends) || index >= len(risk) {
			continue
		}
		ages.ends[class] = ends[index]
		ages.risk[class] = risk[index]
	}
	return ages
}

func (counts *counts) encode(model string) *statisticspb.History {
	message := &statisticspb.History{
		Model:    model,
		Day:      int64(counts.day),
		Exposure: append([]float32(nil), counts.exposure[:]...),
		Scores:   append([]float32(nil), counts.scores[:]...),
		Ages:     counts.ages.encode(),
	}
	last := uint32(0)
	for _, cell := range counts.cells {
		message.Bins = append(message.Bins, uint32(cell.bin)-last)
		message.Days = append(message.Days, cell.days)
		message.Requests = append(message.Requests, cell.requests)
		last = uint32(cell.bin)
	}
	return message
}

// decodeCounts ignores bins that this release does not know, and what follows them.
func decodeCounts(message *statisticspb.History) counts {
	counts := newCounts(int(message.GetDay()))
	copy(counts.exposure[:], message.GetExposure())
	copy(counts.scores[:], message.GetScores())
	counts.ages = decodeAges(message.GetAges())
	days, requests := message.GetDays(), message.GetRequests()
	bin := uint32(0)
	for index, step := range message.GetBins() {
		bin += step
		if bin >= uint32(binsPerWeek) || index >= len(days) || index >= len(requests) {
			break
		}
		counts.cells = counts.cells.add(int(bin), days[index], requests[index])
	}
	return counts
}

// alignDays rolls both counts forward to the later of their days.
func alignDays(a, b *counts) {
	day := max(a.day, b.day)
	a.roll(day)
	b.roll(day)
}
