package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func crash(n int) Crash { return Crash{Upstream: fmt.Sprint("u", n), BootID: "1"} }

func TestCrashCounts(t *testing.T) {
	at := time.Unix(1000, 0)
	cases := []struct {
		name  string
		mark  func(registry, other *Registry)
		after time.Duration
		want  int
	}{
		{"one crash", func(b, _ *Registry) { b.AddCrash(1, crash(1), at) }, 0, 1},
		{"one crash twice", func(b, _ *Registry) { b.AddCrash(1, crash(1), at); b.AddCrash(1, crash(1), at) }, 0, 1},
		{"two crashes", func(b, _ *Registry) { b.AddCrash(1, crash(1), at); b.AddCrash(1, crash(2), at) }, 0, 2},
		{"two crashes at two daemons", func(b, o *Registry) {
			b.AddCrash(1, crash(1), at)
			o.AddCrash(1, crash(2), at)
			b.Import(o.Export(at), at)
		}, 0, 2},
		{"one crash at two daemons", func(b, o *Registry) {
			b.AddCrash(1, crash(1), at)
			o.AddCrash(1, crash(1), at)
			b.Import(o.Export(at), at)
		}, 0, 1},
		{"another request", func(b, _ *Registry) { b.AddCrash(2, crash(1), at) }, 0, 0},
		{"answered since", func(b, _ *Registry) { b.AddCrash(1, crash(1), at); b.Clear(1) }, 0, 0},
		{"answered after two", func(b, _ *Registry) { b.AddCrash(1, crash(1), at); b.AddCrash(1, crash(2), at); b.Clear(1) }, 0, 2},
		{"crash dropped", func(b, _ *Registry) { b.AddCrash(1, crash(1), at); b.AddCrash(1, crash(2), at); b.DropCrash(crash(1)) }, 0, 1},
		{"expired", func(b, _ *Registry) { b.AddCrash(1, crash(1), at) }, Retention, 0},
		{"imported with a late expiry", func(b, _ *Registry) {
			b.Import([]Suspect{{Fingerprint: 1, Crashes: []Crash{crash(1)}, Until: at.Add(1000 * Retention)}}, at)
		}, Retention, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := New()
			c.mark(registry, New())
			if got, _ := registry.CrashCount(1, at.Add(c.after)); got != c.want {
				t.Errorf("%d crashes, want %d", got, c.want)
			}
		})
	}
}

func TestCapacityLimits(t *testing.T) {
	registry, completed := New(), NewCompleted()
	now := time.Unix(1000, 0)
	registry.AddCrash(7, crash(1), now)
	registry.AddCrash(7, crash(2), now)
	for n := range uint64(capacity + 100) {
		registry.AddCrash(100+n, crash(1), now.Add(time.Duration(n)))
		completed.Add(n)
	}
	if count, _ := registry.CrashCount(7, now); len(registry.Export(now)) != capacity || count != 2 {
		t.Errorf("%d suspects were kept, and %d crashes of the refused one", len(registry.Export(now)), count)
	}
	if len(completed.known) != completedCapacity || !completed.Has(capacity+99) || completed.Has(1) {
		t.Errorf("%d completed fingerprints were kept", len(completed.known))
	}
}

func TestArbiterReservesForOneHolder(t *testing.T) {
	arbiter := NewArbiter()
	now := time.Unix(1000, 0)
	if !arbiter.Reserve("u1", "a", now) || !arbiter.Reserve("u1", "a", now) || !arbiter.Reserve("u2", "b", now) {
		t.Fatal("Reserve returned false for a free upstream")
	}
	arbiter.Release("u1", "b")
	if arbiter.Reserve("u1", "b", now) {
		t.Error("an upstream was reserved for two holders")
	}
	if !arbiter.Reserve("u1", "b", now.Add(reservationTerm)) {
		t.Error("a reservation did not expire")
	}
}
