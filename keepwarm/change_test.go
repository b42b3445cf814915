package keepwarm

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bronzestall/bronzestall/keepwarm/statisticspb"
)

// mustMerge merges the change and reports whether it was new.
func mustMerge(t rapid.TB, stored []byte, change Change) ([]byte, bool) {
	t.Helper()
	content, changed, err := Merge(stored, change)
	if err != nil {
		t.Fatal(err)
	}
	return content, changed
}

func TestMergedChangesOfTwoSaversAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		savers := []*Statistics{NewStatistics(time.UTC), NewStatistics(time.UTC)}
		var stored []byte
		now := monday
		arrivals := 0
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "minutes")) * time.Minute)
			saver := rapid.IntRange(0, 1).Draw(t, "saver")
			savers[saver].recordArrivals("planner", now, 1)
			arrivals++
			if rapid.Bool().Draw(t, "save") {
				stored = save(t, savers[saver], saver, stored)
			}
		}
		stored = save(t, savers[0], 0, stored)
		stored = save(t, savers[1], 1, stored)
		all := NewStatistics(time.UTC)
		if err := all.Restore(stored); err != nil {
			t.Fatal(err)
		}
		counts := &all.histories["planner"].total
		requests := float32(0)
		for _, cell := range counts.cells {
			requests += cell.requests
		}
		if requests > float32(arrivals)*1.001 {
			t.Fatalf("requests %v of %d arrivals", requests, arrivals)
		}
		if now.Sub(monday) < 7*testDay && requests < float32(arrivals)*0.999 {
			t.Fatalf("requests %v of %d arrivals within the first week", requests, arrivals)
		}
	})
}

func save(t rapid.TB, statistics *Statistics, saver int, stored []byte) []byte {
	t.Helper()
	change, ok := statistics.TakeChange(partOf("planner"), fmt.Sprint("saver-", saver))
	if !ok {
		return stored
	}
	content, changed := mustMerge(t, stored, change)
	if !changed {
		t.Fatal("a new change was treated as already merged")
	}
	if _, again := mustMerge(t, content, change); again {
		t.Fatal("a change was merged twice")
	}
	return content
}

// TestMergeKeepsUnknownFields guards against issue 48: a learner that merged its counts into a stored part erased what a newer build
// had learned about the models, and ages beyond the known classes.
func TestMergeKeepsUnknownFields(t *testing.T) {
	statistics := NewStatistics(time.UTC)
	statistics.recordArrivals("planner", monday, 1)
	change, _ := statistics.TakeChange(partOf("planner"), "entry-1")
	stored, _ := mustMerge(t, nil, change)
	part, err := decodePart(stored)
	if err != nil {
		t.Fatal(err)
	}
	unknown := protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 7)
	history := part.message.GetHistories()[0]
	history.Ages = &statisticspb.Ages{Classes: []uint32{ageClasses + 5}, Ends: []float32{2}, Risk: []float32{3}}
	part.message.Pool = &statisticspb.Ages{}
	for _, message := range []proto.Message{part.message, history, history.GetAges(), part.message.GetPool()} {
		message.ProtoReflect().SetUnknown(unknown)
	}
	written, err := proto.Marshal(part.message)
	if err != nil {
		t.Fatal(err)
	}
	statistics.recordArrivals("planner", monday.Add(time.Hour), 1)
	change, _ = statistics.TakeChange(partOf("planner"), "entry-1")
	change.increments.Pool = &statisticspb.Ages{}
	merged, _ := mustMerge(t, written, change)
	if part, err = decodePart(merged); err != nil {
		t.Fatal(err)
	}
	history = part.message.GetHistories()[0]
	for _, message := range []proto.Message{part.message, history, history.GetAges(), part.message.GetPool()} {
		if got := message.ProtoReflect().GetUnknown(); string(got) != string(unknown) {
			t.Errorf("%T has the unknown fields %x, want %x", message, got, unknown)
		}
	}
	if classes := history.GetAges().GetClasses(); len(classes) == 0 || classes[len(classes)-1] != ageClasses+5 {
		t.Errorf("the classes are %v", classes)
	}
}

func TestRestoredStatisticsGiveTheSameDecisions(t *testing.T) {
	costs := Costs{ColdStart: 1, IdleHour: 20}
	before := NewPredictive(NewStatistics(time.UTC), costs)
	before.Describe("planner", testProperties)
	observeMornings(before, "planner", 10)
	var parts [][]byte
	for part := range Parts {
		if change, ok := before.statistics.TakeChange(part, "entry-1"); ok {
			content, _ := mustMerge(t, nil, change)
			parts = append(parts, content)
		}
	}
	after := NewPredictive(NewStatistics(time.UTC), costs)
	after.Describe("planner", testProperties)
	for _, part := range parts {
		if err := after.statistics.Restore(part); err != nil {
			t.Fatal(err)
		}
	}
	wanted := 0
	for minute := 0; minute < 24*60; minute += 5 {
		at := monday.Add(10*testDay + time.Duration(minute)*time.Minute)
		got, want := after.Wanted("planner", at), before.Wanted("planner", at)
		wanted += want
		if got != want {
			t.Errorf("wanted at %s: %d, want %d", at, got, want)
		}
	}
	if wanted == 0 {
		t.Error("the model is never wanted")
	}
}

func TestUnusedModelsAreDeleted(t *testing.T) {
	statistics := NewStatistics(time.UTC)
	statistics.recordArrivals("planner", monday, 1)
	first, _ := statistics.TakeChange(partOf("planner"), "entry-1")
	stored, _ := mustMerge(t, nil, first)
	later := monday.Add((maxWeeks + 2) * daysPerWeek * testDay)
	other := "planner"
	for number := 0; other == "planner" || partOf(other) != partOf("planner"); number++ {
		other = fmt.Sprint("other-", number)
	}
	statistics.recordArrivals(other, later, 1)
	if statistics.Models() != 1 {
		t.Errorf("models in memory: %d", statistics.Models())
	}
	second, _ := statistics.TakeChange(partOf(other), "entry-1")
	stored, _ = mustMerge(t, stored, second)
	part, err := decodePart(stored)
	if err != nil || len(part.message.GetHistories()) != 1 {
		t.Errorf("models stored: %d, %v", len(part.message.GetHistories()), err)
	}
}

func TestRestoreRejectsInvalidContent(t *testing.T) {
	if err := NewStatistics(time.UTC).Restore([]byte("not a stored part")); err == nil {
		t.Error("invalid content was restored")
	}
}

func TestPartOfIdleModelsIsSmall(t *testing.T) {
	_, statistics := manyModels(1_900)
	largest, total := 0, 0
	for part := range Parts {
		change, _ := statistics.TakeChange(part, "entry-1")
		content, _ := mustMerge(t, nil, change)
		largest, total = max(largest, len(content)), total+len(content)
		if size := proto.Size(change.increments); size > len(content) {
			t.Fatalf("part %d grew from %d to %d bytes", part, size, len(content))
		}
	}
	t.Logf("1,900 models: %d bytes, largest part %d", total, largest)
	if largest > 64<<10 {
		t.Errorf("largest part has %d bytes", largest)
	}
}

// TestPoolIsSavedWithoutModelsOfItsPart covers statistics all of whose models belong to other parts than the one that holds the pool.
func TestPoolIsSavedWithoutModelsOfItsPart(t *testing.T) {
	statistics, now := NewStatistics(time.UTC), monday
	models := 0
	for number := 0; models < 3; number++ {
		name := fmt.Sprint("m", number)
		if partOf(name) == 0 {
			continue
		}
		models++
		for range 5 {
			now = now.Add(time.Minute)
			statistics.recordArrivals(name, now, 1)
		}
	}
	learnt := statistics.pool
	if learnt == (ages{}) {
		t.Fatal("nothing was learnt of idle times")
	}
	restored := NewStatistics(time.UTC)
	for part := range Parts {
		change, ok := statistics.TakeChange(part, "saver")
		if !ok {
			continue
		}
		stored, _ := mustMerge(t, nil, change)
		if err := restored.Restore(stored); err != nil {
			t.Fatal(err)
		}
	}
	if restored.pool == (ages{}) {
		t.Error("the pool was not saved")
	}
	if _, again := statistics.TakeChange(0, "saver"); again {
		t.Error("the pool is saved again although nothing was learnt")
	}
}
