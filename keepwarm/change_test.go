package keepwarm

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// mustMerge merges the change and tells whether it was new.
func mustMerge(t rapid.TB, stored []byte, change Change) ([]byte, bool) {
	t.Helper()
	content, changed, err := Merge(stored, change)
	if err != nil {
		t.Fatal(err)
	}
	return content, changed
}

func TestMergeOfTwoObserversIsTheBookOfOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Statistics{NewStatistics(time.UTC), NewStatistics(time.UTC)}
		var stored []byte
		now := monday
		arrivals := 0
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "minutes")) * time.Minute)
			observer := rapid.IntRange(0, 1).Draw(t, "observer")
			books[observer].arrive("planner", now, 1)
			arrivals++
			if rapid.Bool().Draw(t, "save") {
				stored = save(t, books[observer], observer, stored)
			}
		}
		stored = save(t, books[0], 0, stored)
		stored = save(t, books[1], 1, stored)
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

func save(t rapid.TB, book *Statistics, observer int, stored []byte) []byte {
	t.Helper()
	change, ok := book.TakeChange(partOf("planner"), fmt.Sprint("observer-", observer))
	if !ok {
		return stored
	}
	content, changed := mustMerge(t, stored, change)
	if !changed {
		t.Fatal("a new change is taken as an old one")
	}
	if _, again := mustMerge(t, content, change); again {
		t.Fatal("a change is entered twice")
	}
	return content
}

func TestRestoredBookDecidesAsBefore(t *testing.T) {
	weights := Costs{ColdStart: 1, IdleHour: 20}
	before := NewPredictive(NewStatistics(time.UTC), weights)
	before.Describe("planner", testTraits)
	dawns(before, "planner", 10)
	var parts [][]byte
	for part := range Parts {
		if change, ok := before.book.TakeChange(part, "entry-1"); ok {
			content, _ := mustMerge(t, nil, change)
			parts = append(parts, content)
		}
	}
	after := NewPredictive(NewStatistics(time.UTC), weights)
	after.Describe("planner", testTraits)
	for _, part := range parts {
		if err := after.book.Restore(part); err != nil {
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

func TestModelsOutOfUseAreDropped(t *testing.T) {
	book := NewStatistics(time.UTC)
	book.arrive("planner", monday, 1)
	first, _ := book.TakeChange(partOf("planner"), "entry-1")
	stored, _ := mustMerge(t, nil, first)
	later := monday.Add((mostWeeks + 2) * daysPerWeek * testDay)
	other := "planner"
	for number := 0; other == "planner" || partOf(other) != partOf("planner"); number++ {
		other = fmt.Sprint("other-", number)
	}
	book.arrive(other, later, 1)
	if book.Models() != 1 {
		t.Errorf("models in memory: %d", book.Models())
	}
	second, _ := book.TakeChange(partOf(other), "entry-1")
	stored, _ = mustMerge(t, stored, second)
	part, err := decodePart(stored)
	if err != nil || len(part.message.GetHistories()) != 1 {
		t.Errorf("models stored: %d, %v", len(part.message.GetHistories()), err)
	}
}

func TestRestoreRefusesGarbage(t *testing.T) {
	if err := NewStatistics(time.UTC).Restore([]byte("no part of a book")); err == nil {
		t.Error("garbage is restored")
	}
}

func TestPartOfIdleModelsIsSmall(t *testing.T) {
	_, book := manyModels(1_900)
	largest, total := 0, 0
	for part := range Parts {
		change, _ := book.TakeChange(part, "entry-1")
		content, _ := mustMerge(t, nil, change)
		largest, total = max(largest, len(content)), total+len(content)
		if size := proto.Size(change.learnt); size > len(content) {
			t.Fatalf("part %d grew from %d to %d bytes", part, size, len(content))
		}
	}
	t.Logf("1,900 models: %d bytes, largest part %d", total, largest)
	if largest > 64<<10 {
		t.Errorf("largest part has %d bytes", largest)
	}
}
