package keepwarm

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/keepwarm/statisticspb"
)

// Parts is the number of parts into which statistics are divided for storage. It must not change while parts are
// stored.
const Parts = 64

// maxSavers is the number of savers that a stored part lists.
const maxSavers = 16

// Change contains what one Statistics learned about the models of one part since the part was last taken.
type Change struct {
	// Part is the number of the part.
	Part int
	// Saver identifies the Statistics. Saver and Sequence together identify a change.
	Saver string
	// Sequence increases with every change of the saver.
	Sequence uint64
	// increments contains the counts to add.
	increments *statisticspb.Part
}

// poolPart is the number of the part that holds the pool.
const poolPart = 0

// partOf returns the number of the part that contains the model.
func partOf(model string) int {
	return int(xxhash.Sum64String(model) % Parts)
}

// TakeChange removes and returns what was learned for the part since it was last taken, and reports whether there was
// anything. The caller must merge the change into the stored part, and retry until that succeeds.
func (statistics *Statistics) TakeChange(part int, saver string) (Change, bool) {
	increments := &statisticspb.Part{Week: int64(statistics.week)}
	for model, history := range statistics.histories {
		if partOf(model) != part || !history.dirty {
			continue
		}
		message := history.unsaved.encode(model)
		message.Last = history.last.Unix()
		increments.Histories = append(increments.Histories, message)
		history.unsaved = newCounts(history.total.day)
		history.dirty = false
	}
	savesPool := part == poolPart && statistics.unsavedPool != ages{}
	if len(increments.Histories) == 0 && !savesPool {
		return Change{}, false
	}
	if savesPool {
		increments.Pool = statistics.unsavedPool.encode()
		statistics.unsavedPool = ages{}
	}
	statistics.sequence++
	return Change{Part: part, Saver: saver, Sequence: statistics.sequence, increments: increments}, true
}

// Merge returns the stored content with the change added, and false if it already contains the change. Empty content
// is an empty part.
func Merge(stored []byte, change Change) ([]byte, bool, error) {
	part, err := decodePart(stored)
	if err != nil {
		return nil, false, err
	}
	if part.recordSaver(change) {
		return stored, false, nil
	}
	add(part.message, change.increments)
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(part.message)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	return content, true, nil
}

// storedPart is the decoded content of a stored part.
type storedPart struct {
	message *statisticspb.Part
}

func decodePart(stored []byte) (storedPart, error) {
	part := storedPart{message: &statisticspb.Part{}}
	if err := proto.Unmarshal(stored, part.message); err != nil {
		return storedPart{}, trace.Wrap(err, "cannot decode a stored part of the arrival statistics")
	}
	return part, nil
}

// recordSaver records the change in the list of savers, and reports whether the part already contained it. Savers
// above maxSavers are deleted, the oldest first.
func (part storedPart) recordSaver(change Change) bool {
	message := part.message
	kept := make([]*statisticspb.Saver, 0, len(message.GetSavers())+1)
	for _, saver := range message.GetSavers() {
		if saver.GetName() != change.Saver {
			kept = append(kept, saver)
			continue
		}
		if saver.GetSequence() >= change.Sequence {
			return true
		}
	}
	kept = append(kept, &statisticspb.Saver{Name: change.Saver, Sequence: change.Sequence})
	message.Savers = kept[max(len(kept)-maxSavers, 0):]
	return false
}

// add adds the increments to the stored counts, and deletes models without arrivals for maxWeeks.
func add(stored, increments *statisticspb.Part) {
	oldest := (increments.GetWeek() - maxWeeks) * daysPerWeek
	stored.Histories = slices.DeleteFunc(stored.GetHistories(), func(history *statisticspb.History) bool {
		return history.GetDay() < oldest
	})
	indexes := map[string]int{}
	for index, history := range stored.GetHistories() {
		indexes[history.GetModel()] = index
	}
	for _, history := range increments.GetHistories() {
		index, ok := indexes[history.GetModel()]
		if !ok {
			stored.Histories = append(stored.Histories, history)
			continue
		}
		sum, other := decodeCounts(stored.Histories[index]), decodeCounts(history)
		alignDays(&sum, &other)
		sum.merge(&other)
		last := max(stored.Histories[index].GetLast(), history.GetLast())
		merged := sum.encode(history.GetModel())
		merged.Last = last
		keepUnknownHistory(merged, stored.Histories[index])
		stored.Histories[index] = merged
	}
	if increments.GetPool() == nil {
		return
	}
	pool, other := decodeAges(stored.GetPool()), decodeAges(increments.GetPool())
	decayWeeks(&pool, increments.GetWeek()-stored.GetWeek())
	decayWeeks(&other, stored.GetWeek()-increments.GetWeek())
	pool.add(&other)
	merged := pool.encode()
	keepUnknownAges(merged, stored.GetPool())
	stored.Pool = merged
	stored.Week = max(stored.GetWeek(), increments.GetWeek())
}

// decayWeeks decays the ages by the given number of weeks; a negative number counts as zero.
func decayWeeks(ages *ages, weeks int64) {
	for range min(max(weeks, 0), maxWeeks) {
		ages.decay(weeklyDecay)
	}
}

// Restore sets the statistics of the stored models to the stored counts plus what was learned here and is not saved
// yet, and the pool likewise. It replaces what an earlier Restore added.
func (statistics *Statistics) Restore(stored []byte) error {
	part, err := decodePart(stored)
	if err != nil {
		return err
	}
	for _, message := range part.message.GetHistories() {
		total := decodeCounts(message)
		known, ok := statistics.histories[message.GetModel()]
		if !ok {
			known = newHistory(total.day)
			statistics.histories[message.GetModel()] = known
		}
		alignDays(&total, &known.unsaved)
		total.merge(&known.unsaved)
		known.total = total
		known.mean = total.meanProbability()
		known.rates = [2]*dayRates{}
		known.advanceLast(statistics.grid, time.Unix(message.GetLast(), 0))
	}
	if part.message.GetPool() == nil {
		return nil
	}
	statistics.rollPool(int(part.message.GetWeek()) * daysPerWeek)
	pool := decodeAges(part.message.GetPool())
	decayWeeks(&pool, int64(statistics.week)-part.message.GetWeek())
	pool.add(&statistics.unsavedPool)
	statistics.pool = pool
	return nil
}
