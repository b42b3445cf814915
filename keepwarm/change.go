package keepwarm

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/keepwarm/bookpb"
)

// Parts is the number of parts of a book. It must not change while parts are stored.
const Parts = 64

// mostSavers is the number of savers that a part remembers.
const mostSavers = 16

// Change is what one book learnt of the models of one part since its last save.
type Change struct {
	// Part is the number of the part.
	Part int
	// Saver names the book; Sequence counts its changes. Together they make a change unique.
	Saver string
	// Sequence rises with every change of the saver.
	Sequence uint64
	// learnt holds the counts to add.
	learnt *bookpb.Part
}

// partOf returns the part of a model.
func partOf(model string) int {
	return int(xxhash.Sum64String(model) % Parts)
}

// TakeChange removes from the book what was learnt for the part since it was last
// taken, and reports whether there was anything. The change must be merged
// into what is stored, again and again until that succeeds.
func (book *Statistics) TakeChange(part int, saver string) (Change, bool) {
	learnt := &bookpb.Part{Week: int64(book.week)}
	for model, history := range book.histories {
		if partOf(model) != part || !history.dirty {
			continue
		}
		message := history.fresh.encode(model)
		message.Last = history.last.Unix()
		learnt.Histories = append(learnt.Histories, message)
		history.fresh = newCounts(history.total.day)
		history.dirty = false
	}
	if len(learnt.Histories) == 0 {
		return Change{}, false
	}
	if part == 0 {
		learnt.Pool = book.freshPool.encode()
		book.freshPool = ages{}
	}
	book.sequence++
	return Change{Part: part, Saver: saver, Sequence: book.sequence, learnt: learnt}, true
}

// Merge returns the stored content with the change added, and false if it is
// in there already. Empty content is an empty part.
func Merge(stored []byte, change Change) ([]byte, bool, error) {
	part, err := decodePart(stored)
	if err != nil {
		return nil, false, err
	}
	if part.enter(change) {
		return stored, false, nil
	}
	add(part.message, change.learnt)
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(part.message)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	return content, true, nil
}

// storedPart is the content of a part as stored.
type storedPart struct {
	message *bookpb.Part
}

func decodePart(stored []byte) (storedPart, error) {
	part := storedPart{message: &bookpb.Part{}}
	if err := proto.Unmarshal(stored, part.message); err != nil {
		return storedPart{}, trace.Wrap(err, "part of the book cannot be read")
	}
	return part, nil
}

// enter remembers the change and reports whether it was there already.
func (part storedPart) enter(change Change) bool {
	message := part.message
	kept := make([]*bookpb.Saver, 0, len(message.GetSavers())+1)
	for _, saver := range message.GetSavers() {
		if saver.GetName() != change.Saver {
			kept = append(kept, saver)
			continue
		}
		if saver.GetSequence() >= change.Sequence {
			return true
		}
	}
	kept = append(kept, &bookpb.Saver{Name: change.Saver, Sequence: change.Sequence})
	message.Savers = kept[max(len(kept)-mostSavers, 0):]
	return false
}

// add adds the counts of learnt to the stored ones, and drops models that were not asked for in many weeks.
func add(stored, learnt *bookpb.Part) {
	oldest := (learnt.GetWeek() - mostWeeks) * daysPerWeek
	stored.Histories = slices.DeleteFunc(stored.GetHistories(), func(history *bookpb.History) bool {
		return history.GetDay() < oldest
	})
	places := map[string]int{}
	for place, history := range stored.GetHistories() {
		places[history.GetModel()] = place
	}
	for _, history := range learnt.GetHistories() {
		place, ok := places[history.GetModel()]
		if !ok {
			stored.Histories = append(stored.Histories, history)
			continue
		}
		sum, other := decodeCounts(stored.Histories[place]), decodeCounts(history)
		rollTogether(&sum, &other)
		sum.merge(&other)
		last := max(stored.Histories[place].GetLast(), history.GetLast())
		stored.Histories[place] = sum.encode(history.GetModel())
		stored.Histories[place].Last = last
	}
	if learnt.GetPool() == nil {
		return
	}
	pool, other := decodeAges(stored.GetPool()), decodeAges(learnt.GetPool())
	decayWeeks(&pool, learnt.GetWeek()-stored.GetWeek())
	decayWeeks(&other, stored.GetWeek()-learnt.GetWeek())
	pool.add(&other)
	stored.Pool = pool.encode()
	stored.Week = max(stored.GetWeek(), learnt.GetWeek())
}

// decayWeeks decays the ages by a number of weeks, if it is positive.
func decayWeeks(ages *ages, weeks int64) {
	for range min(max(weeks, 0), mostWeeks) {
		ages.decay(weekDecay)
	}
}

// Restore adds stored content to what the book learnt and has not saved. It
// replaces what was restored before.
func (book *Statistics) Restore(stored []byte) error {
	part, err := decodePart(stored)
	if err != nil {
		return err
	}
	for _, message := range part.message.GetHistories() {
		total := decodeCounts(message)
		known, ok := book.histories[message.GetModel()]
		if !ok {
			known = newHistory(total.day)
			book.histories[message.GetModel()] = known
		}
		rollTogether(&total, &known.fresh)
		total.merge(&known.fresh)
		known.total = total
		known.mean = total.meanLikelihood()
		known.rates = [2]*dayRates{}
		known.recall(book.grid, time.Unix(message.GetLast(), 0))
	}
	if part.message.GetPool() == nil {
		return nil
	}
	book.rollPool(int(part.message.GetWeek()) * daysPerWeek)
	pool := decodeAges(part.message.GetPool())
	decayWeeks(&pool, int64(book.week)-part.message.GetWeek())
	pool.add(&book.freshPool)
	book.pool = pool
	return nil
}
