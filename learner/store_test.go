package learner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/keepwarm"
)

var start = time.Date(2026, time.September, 7, 8, 0, 0, 0, time.UTC)

// change returns the change that one arrival causes.
func change(t *testing.T, saver string) keepwarm.Change {
	t.Helper()
	statistics := keepwarm.NewStatistics(time.UTC)
	keepwarm.NewPredictive(statistics, keepwarm.Costs{}).Observe("planner", start, 1)
	for part := range keepwarm.Parts {
		if change, ok := statistics.TakeChange(part, saver); ok {
			return change
		}
	}
	t.Fatal("no change to take")
	return keepwarm.Change{}
}

// content returns the only stored part with observations of the model planner. The pool may be in another part.
func content(t *testing.T, store *Store) string {
	t.Helper()
	parts, err := store.Read(context.Background())
	parts = slices.DeleteFunc(parts, func(part []byte) bool { return !bytes.Contains(part, []byte("planner")) })
	if err != nil || len(parts) != 1 {
		t.Fatalf("parts with the model: %d, %v", len(parts), err)
	}
	return string(parts[0])
}

func TestSaveMergesEachChangeOnce(t *testing.T) {
	clean := newStore()
	a, b := change(t, "a"), change(t, "b")
	for _, change := range []keepwarm.Change{a, b} {
		if err := clean.store.Save(context.Background(), change); err != nil {
			t.Fatal(err)
		}
	}
	want := content(t, clean.store)
	for _, test := range []struct {
		name   string
		faults []platformfake.Fault
		race   bool
	}{
		{"response lost after the write", []platformfake.Fault{platformfake.UnclearWithEffect}, false},
		{"response lost before the write", []platformfake.Fault{platformfake.UnclearWithoutEffect}, false},
		{"write takes effect late", []platformfake.Fault{platformfake.UnclearLate}, false},
		{"refused", []platformfake.Fault{platformfake.Unavailable}, false},
		{"concurrent write", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			faulty := newStore()
			if err := faulty.store.Save(context.Background(), a); err != nil {
				t.Fatal(err)
			}
			faulty.client.FailWrites(test.faults...)
			if test.race {
				other := NewStore(faulty.platform.Client(), "dc-1")
				raced := false
				faulty.client.BeforeCommit(func() {
					if !raced {
						raced = true
						if err := other.Save(context.Background(), change(t, "b")); err != nil {
							t.Error(err)
						}
					}
				})
			}
			for attempt := 0; faulty.store.Save(context.Background(), b) != nil; attempt++ {
				if attempt == 3 {
					t.Fatal("the change cannot be saved")
				}
			}
			faulty.platform.ApplyLate()
			if got := content(t, faulty.store); got != want {
				t.Errorf("stored %q, want %q", got, want)
			}
		})
	}
}

type setup struct {
	platform *platformfake.Platform
	client   *platformfake.Client
	store    *Store
}

func newStore() setup {
	platform := platformfake.New(clocktesting.NewFakeClock(start), rand.New(rand.NewPCG(1, 1)))
	client := platform.Client()
	return setup{platform: platform, client: client, store: NewStore(client, "dc-1")}
}
