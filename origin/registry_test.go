package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func stream(id, release string) Stream { return Stream{Origin{"s", release}, id} }

func TestOnlyReleaseThatCanHaveBegunStreams(t *testing.T) {
	cases := []struct {
		name string
		// change is made to a complete registry whose service has release v1 at second 0.
		change func(registry *Registry)
		at     float64
		want   string
	}{
		{"one serves", func(*Registry) {}, 1, "v1"},
		{"two serve", func(registry *Registry) { registry.SetServing(Releases{"s": {"v1", "v2"}}, at(1)) }, 2, ""},
		{"the older one left just now", func(registry *Registry) { registry.SetServing(Releases{"s": {"v2"}}, at(1)) }, 2, ""},
		{"the older one left long ago", func(registry *Registry) { registry.SetServing(Releases{"s": {"v2"}}, at(1)) }, 1 + Retention.Seconds(), "v2"},
		{"another one was seen by others", func(registry *Registry) { registry.LearnReleases(Releases{"s": {"v0"}}.Sightings(), at(1)) }, 2, ""},
		{"it was seen by others too", func(registry *Registry) { registry.LearnReleases(Releases{"s": {"v1"}}.Sightings(), at(1)) }, 2, "v1"},
		{"it serves for long", func(registry *Registry) { registry.LearnReleases(Releases{"s": {"v1"}}.Sightings(), at(1)) }, 1e6, "v1"},
		{"another service has two", func(registry *Registry) { registry.SetServing(Releases{"s": {"v1"}, "r": {"v1", "v2"}}, at(1)) }, 2, "v1"},
		{"none serves any more", func(registry *Registry) { registry.SetServing(Releases{}, at(1)) }, 2, "v1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := New()
			registry.CompleteAt(registry.Gaps())
			registry.SetServing(Releases{"s": {"v1"}}, at(0))
			c.change(registry)
			if got, ok := registry.Only("s", at(c.at)); got != c.want || ok != (c.want != "") {
				t.Errorf("the only release is %q, %v", got, ok)
			}
		})
	}
	registry := New()
	registry.SetServing(Releases{"s": {"v1"}}, at(0))
	if _, ok := registry.Only("s", at(1)); ok {
		t.Error("a registry that is not complete knows the only release")
	}
	registry.CompleteAt(registry.Gaps())
	gaps := registry.Gaps()
	registry.MarkIncomplete()
	if registry.CompleteAt(gaps) {
		t.Error("a registry is complete by a read that began before rows may have come and gone")
	}
	if <-registry.Lacking(); !registry.CompleteAt(registry.Gaps()) {
		t.Error("a registry is not complete after the recorded releases were read again")
	}
	registry.Doubt(at(5))
	registry.Doubt(at(3))
	for seconds, want := range map[float64]bool{4: false, 5: true} {
		if _, ok := registry.Only("s", at(seconds)); ok != want || registry.Knows(at(seconds)) != want {
			t.Errorf("at %v s a registry in doubt until 5 s knows the only release: %v", seconds, ok)
		}
	}
}

func TestFind(t *testing.T) {
	registry := New()
	registry.Begin(stream("a", "v1"), at(0))
	registry.Learn([]Stream{stream("b", "v2"), stream("a", "v1"), stream("c", "v1")}, at(1))
	registry.Learn([]Stream{stream("c", "v2"), stream("", "v1"), stream(strings.Repeat("x", 10<<10), "v1")}, at(2))
	for id, want := range map[string]string{"a": "v1", "b": "v2", "c": "", "": "", "d": "", strings.Repeat("x", 10<<10): ""} {
		if got, ok := registry.Find(id, at(3)); got.Release != want || ok != (want != "") {
			t.Errorf("the stream of %.8q began at %q, %v", id, got.Release, ok)
		}
	}
	if _, ok := registry.Find("a", at(Retention.Seconds())); ok {
		t.Error("an origin outlives the retention")
	}
}

// TestStreamsToRecord covers the cost while one release serves and is listed, which is none, and the moment in which a second one comes:
// the streams of before have to be recorded too.
func TestStreamsToRecord(t *testing.T) {
	registry := New()
	registry.SetInventory(Inventory{Releases: Releases{"s": {"v1"}, "r": {"v1"}}}, at(0))
	registry.SetServing(Releases{"s": {"v1"}, "r": {"v1"}}, at(0))
	if registry.Begin(stream("a", "v1"), at(1)) != nil {
		t.Error("a stream waits to be recorded while one release serves")
	}
	registry.Begin(Stream{Origin{"r", "v1"}, "other"}, at(1))
	registry.Learn([]Stream{stream("learnt", "v1")}, at(1))
	if batch := registry.TakeUnrecorded(); len(batch.Streams) > 0 {
		t.Errorf("%v are recorded while one release serves", batch.Streams)
	}
	registry.SetServing(Releases{"s": {"v1", "v2"}, "r": {"v1"}}, at(2))
	recorded := registry.Begin(stream("b", "v2"), at(3))
	select {
	case <-registry.Wake():
	default:
		t.Error("nothing says that streams are to be recorded")
	}
	batch := registry.TakeUnrecorded()
	if want := []Stream{stream("a", "v1"), stream("b", "v2")}; !slices.Equal(batch.Streams, want) {
		t.Errorf("%v are recorded, want %v", batch.Streams, want)
	}
	select {
	case <-recorded:
		t.Error("a stream counts as recorded before it is")
	default:
	}
	batch.Recorded()
	<-recorded
	if again := registry.TakeUnrecorded(); len(again.Streams) > 0 {
		t.Errorf("%v are recorded twice", again.Streams)
	}
	registry.RecordAgain(at(4))
	if again := registry.TakeUnrecorded(); len(again.Streams) != 2 {
		t.Errorf("after the store lost them %v are recorded again", again.Streams)
	}
}

// TestLearntReleaseMakesStreamsBeRecorded guards against streams that were never recorded since the second release was known from
// others, or from a row, before it served here.
func TestLearntReleaseMakesStreamsBeRecorded(t *testing.T) {
	registry := New()
	registry.SetInventory(Inventory{Releases: Releases{"s": {"v1"}}}, at(0))
	registry.SetServing(Releases{"s": {"v1"}}, at(0))
	registry.Begin(stream("a", "v1"), at(1))
	registry.LearnReleases(Releases{"s": {"v1"}}.Sightings(), at(2))
	if batch := registry.TakeUnrecorded(); len(batch.Streams) > 0 {
		t.Errorf("%v are recorded while one release serves", batch.Streams)
	}
	registry.LearnReleases(Releases{"s": {"v2"}}.Sightings(), at(3))
	registry.SetServing(Releases{"s": {"v1", "v2"}}, at(4))
	if batch := registry.TakeUnrecorded(); !slices.Equal(batch.Streams, []Stream{stream("a", "v1")}) {
		t.Errorf("%v are recorded, want a", batch.Streams)
	}
}

// TestStreamOfAReleaseThatIsNotKnownIsRecorded guards against streams that another daemon began for this one, at a release whose
// replicas this one had not seen, and that were not recorded.
func TestStreamOfAReleaseThatIsNotKnownIsRecorded(t *testing.T) {
	registry := New()
	registry.CompleteAt(registry.Gaps())
	registry.SetServing(Releases{"s": {"v1"}}, at(0))
	registry.Begin(stream("a", "v1"), at(1))
	if registry.Begin(stream("b", "v2"), at(2)) == nil {
		t.Error("the stream does not wait to be recorded")
	}
	if _, ok := registry.Only("s", at(2)); ok {
		t.Error("the known release counts as the only one")
	}
	if batch := registry.TakeUnrecorded(); !slices.Equal(batch.Streams, []Stream{stream("a", "v1"), stream("b", "v2")}) {
		t.Errorf("%v are recorded", batch.Streams)
	}
}

// TestFullRegistry covers a flood of invented attempts: the oldest origins yield and are counted.
func TestFullRegistry(t *testing.T) {
	registry := New()
	for number := range maxStreams + 10 {
		registry.Begin(stream(fmt.Sprint(number), "v1"), at(1))
	}
	if registry.Held() != maxStreams || registry.Evicted() != 10 {
		t.Errorf("%d held, %d evicted", registry.Held(), registry.Evicted())
	}
	registry.Begin(stream("late", "v1"), at(2+Retention.Seconds()))
	if registry.Held() != 1 || registry.Evicted() != 10 {
		t.Errorf("after the retention %d held, %d evicted", registry.Held(), registry.Evicted())
	}
}

func TestLogKeepsStreamsForRetention(t *testing.T) {
	var log Log
	rows := map[int]Page{}
	began := map[string]time.Time{}
	for number := range 400 {
		now := at(float64(number))
		id := fmt.Sprint(number)
		began[id] = now
		for _, page := range log.Add([]Stream{stream(id, "v1")}, now) {
			rows[page.Number] = page
		}
		held := map[string]bool{}
		for _, page := range rows {
			for _, next := range page.Streams {
				held[next.ID] = true
			}
		}
		for id, from := range began {
			if !held[id] && now.Sub(from) < Retention {
				t.Fatalf("after %v the stream is gone", now.Sub(from))
			}
		}
	}
	long := make([]Stream, 3)
	for index := range long {
		long[index] = stream(strings.Repeat(fmt.Sprint(index), maxPageBytes/2), "v1")
	}
	if pages := log.Add(long, at(500)); len(pages) != 3 {
		t.Errorf("three streams of half a page need %d pages", len(pages))
	}
}

// TestReleaseThatLeftIsForgottenWhileDaemonsAsk guards against releases that had left and counted for good: each daemon that heard of
// one from another, or from a row, counted it anew from then on and passed it on.
func TestReleaseThatLeftIsForgottenWhileDaemonsAsk(t *testing.T) {
	a, b := New(), New()
	a.CompleteAt(a.Gaps())
	for _, registry := range []*Registry{a, b} {
		registry.SetServing(Releases{"s": {"v1", "v2"}}, at(0))
		registry.SetServing(Releases{"s": {"v2"}}, at(1))
	}
	row := Releases{}
	for seconds := 20.0; seconds < 600; seconds += 20 {
		a.LearnReleases(b.Sightings(at(seconds)), at(seconds))
		b.LearnReleases(a.Sightings(at(seconds)), at(seconds))
		b.LearnReleases(row.Sightings(), at(seconds))
		row = a.Witnessed(at(seconds))
	}
	if _, ok := a.Only("s", at(1+Retention.Seconds())); ok {
		t.Error("a release that left is forgotten too soon")
	}
	if a.Mixed(at(600)) || b.Mixed(at(600)) {
		t.Error("ten minutes after a release left it counts still")
	}
}
