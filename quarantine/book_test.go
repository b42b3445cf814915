package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func crash(n int) Crash { return Crash{Upstream: fmt.Sprint("u", n), BootID: "1"} }

func TestCountsOfCrashes(t *testing.T) {
	begin := time.Unix(1000, 0)
	cases := []struct {
		name  string
		mark  func(book, other *Registry)
		after time.Duration
		want  int
	}{
		{"one crash", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin) }, 0, 1},
		{"one crash twice", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin); b.AddCrash(1, crash(1), begin) }, 0, 1},
		{"two crashes", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin); b.AddCrash(1, crash(2), begin) }, 0, 2},
		{"two crashes at two daemons", func(b, o *Registry) {
			b.AddCrash(1, crash(1), begin)
			o.AddCrash(1, crash(2), begin)
			b.Import(o.Export(begin), begin)
		}, 0, 2},
		{"one crash at two daemons", func(b, o *Registry) {
			b.AddCrash(1, crash(1), begin)
			o.AddCrash(1, crash(1), begin)
			b.Import(o.Export(begin), begin)
		}, 0, 1},
		{"another request", func(b, _ *Registry) { b.AddCrash(2, crash(1), begin) }, 0, 0},
		{"answered since", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin); b.Clear(1) }, 0, 0},
		{"answered after two", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin); b.AddCrash(1, crash(2), begin); b.Clear(1) }, 0, 2},
		{"absolved", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin); b.AddCrash(1, crash(2), begin); b.RemoveCrash(crash(1)) }, 0, 1},
		{"forgotten", func(b, _ *Registry) { b.AddCrash(1, crash(1), begin) }, Retention, 0},
		{"imported for ever", func(b, _ *Registry) {
			b.Import([]Suspect{{Fingerprint: 1, Crashes: []Crash{crash(1)}, Until: begin.Add(1000 * Retention)}}, begin)
		}, Retention, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := New()
			c.mark(book, New())
			if got, _ := book.CrashCount(1, begin.Add(c.after)); got != c.want {
				t.Errorf("%d crashes, want %d", got, c.want)
			}
		})
	}
}

func TestBoundsOfBooks(t *testing.T) {
	book, proven := New(), NewCompleted()
	now := time.Unix(1000, 0)
	book.AddCrash(7, crash(1), now)
	book.AddCrash(7, crash(2), now)
	for n := range uint64(capacity + 100) {
		book.AddCrash(100+n, crash(1), now.Add(time.Duration(n)))
		proven.Add(n)
	}
	if count, _ := book.CrashCount(7, now); len(book.Export(now)) != capacity || count != 2 {
		t.Errorf("%d suspects were kept, and %d crashes of the refused one", len(book.Export(now)), count)
	}
	if len(proven.known) != provenCapacity || !proven.Has(capacity+99) || proven.Has(1) {
		t.Errorf("%d harmless fingerprints were kept", len(proven.known))
	}
}

func TestArbiterGivesOneRight(t *testing.T) {
	arbiter := NewArbiter()
	now := time.Unix(1000, 0)
	if !arbiter.Reserve("u1", "a", now) || !arbiter.Reserve("u1", "a", now) || !arbiter.Reserve("u2", "b", now) {
		t.Fatal("a free upstream was refused")
	}
	arbiter.Release("u1", "b")
	if arbiter.Reserve("u1", "b", now) {
		t.Error("two suspects run on one upstream")
	}
	if !arbiter.Reserve("u1", "b", now.Add(reservationTerm)) {
		t.Error("a reservation lasts for ever")
	}
}
