package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

func newPlatform(seed uint64) *platformfake.Platform {
	return platformfake.New(clock.RealClock{}, rand.New(rand.NewPCG(seed, 7)))
}

func newStore(tables datastore.Tables, name string) *Store {
	return New(Settings{Incarnation: name, Ended: func(other string) bool { return other == "dead" }}, tables, clock.RealClock{})
}

func call(id, key string) request.Request {
	return request.Request{ID: id, Tenant: "t", IdempotencyKey: key, Fingerprint: 1}
}

// responseOf returns a response whose body is the identifier.
func responseOf(id string) Response {
	return Response{Status: 200, ContentType: "text/plain", Body: []byte(id), Kept: true}
}

func TestRepeatedCallThroughAnotherDaemon(t *testing.T) {
	kept := responseOf("first")
	other := call("second", "k")
	other.Fingerprint = 2
	cases := []struct {
		name     string
		daemon   string
		finish   func(ctx context.Context, store *Store, ticket Ticket)
		repeat   request.Request
		want     outcome.Kind
		response bool
	}{
		{"complete", "one", func(ctx context.Context, s *Store, k Ticket) { s.Complete(ctx, k, kept) }, call("second", "k"), 0, true},
		{"too large", "one", func(ctx context.Context, s *Store, k Ticket) { s.Complete(ctx, k, Response{Status: 200}) }, call("second", "k"), outcome.ClaimUnresolved, false},
		{"running", "one", func(context.Context, *Store, Ticket) {}, call("second", "k"), outcome.ClaimRunning, false},
		{"lost", "one", func(ctx context.Context, s *Store, k Ticket) { s.Lose(ctx, k) }, call("second", "k"), outcome.ClaimUnresolved, false},
		{"daemon ended", "dead", func(context.Context, *Store, Ticket) {}, call("second", "k"), outcome.ClaimUnresolved, false},
		{"other request", "one", func(ctx context.Context, s *Store, k Ticket) { s.Complete(ctx, k, kept) }, other, outcome.ClaimMismatch, false},
		{"other tenant", "one", func(context.Context, *Store, Ticket) {}, request.Request{ID: "second", Tenant: "u", IdempotencyKey: "k"}, -1, false},
		{"not run", "one", func(ctx context.Context, s *Store, k Ticket) { s.Release(ctx, k) }, call("second", "k"), -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newPlatform(1)
				first := newStore(fake.Client(), c.daemon)
				ticket, response, err := first.Claim(t.Context(), call("first", "k"))
				if err != nil || response != nil {
					t.Fatalf("the first attempt got %v, %v", response, err)
				}
				c.finish(t.Context(), first, ticket)

				second := newStore(fake.Client(), "two")
				_, response, err = second.Claim(t.Context(), c.repeat)
				if c.response != (response != nil) || (response != nil && string(response.Body) != "first") {
					t.Errorf("the repeated call got the response %v", response)
				}
				if (c.want > 0) != (err != nil) || (err != nil && !outcome.Is(err, c.want)) {
					t.Errorf("the repeated call got %v", err)
				}
			})
		})
	}
}

// TestLostResponsesOfTheTableService checks for each fault of the insertion that the call is claimed once
// or refused, and that a refused call can be repeated once the table service is available again.
func TestLostResponsesOfTheTableService(t *testing.T) {
	faults := []struct {
		name    string
		writes  []platformfake.Fault
		reads   int
		claimed bool
	}{
		{"none", nil, 0, true},
		{"unavailable", []platformfake.Fault{platformfake.Unavailable}, 0, false},
		{"written, response lost", []platformfake.Fault{platformfake.UnclearWithEffect}, 0, true},
		{"not written, response lost", []platformfake.Fault{platformfake.UnclearWithoutEffect}, 0, true},
		{"written, response lost, reads fail", []platformfake.Fault{platformfake.UnclearWithEffect}, 1, false},
		{"written between two attempts", []platformfake.Fault{platformfake.UnclearLate}, 0, true},
		{"written late", []platformfake.Fault{platformfake.UnclearLate}, 0, true},
		{"always unclear", []platformfake.Fault{platformfake.UnclearLate, platformfake.UnclearLate, platformfake.UnclearLate}, 0, false},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newPlatform(1)
				client := fake.Client()
				store := newStore(client, "one")
				client.FailWrites(fault.writes...)
				client.FailReads(fault.reads)
				if fault.name == "written between two attempts" {
					client.BeforeCommit(func() { fake.ApplyLate() })
				}
				_, _, err := store.Claim(t.Context(), call("first", "k"))
				if (err == nil) != fault.claimed || (err != nil && !outcome.Is(err, outcome.ClaimUnavailable)) {
					t.Fatalf("the first attempt got %v", err)
				}
				fake.ApplyLate()
				store.Flush(t.Context())
				_, _, err = newStore(fake.Client(), "two").Claim(t.Context(), call("second", "k"))
				if fault.claimed != outcome.Is(err, outcome.ClaimRunning) || (!fault.claimed && err != nil) {
					t.Errorf("the repeated call got %v", err)
				}
			})
		})
	}
}

// TestClaimsShareTransactions bounds the number of transactions for 1000 calls at two rates of one daemon.
func TestClaimsShareTransactions(t *testing.T) {
	for _, c := range []struct{ rate, maxTransactions int }{{19, 2000}, {1000, 100}} {
		synctest.Test(t, func(t *testing.T) {
			fake := newPlatform(1)
			fake.SetDelay(10*time.Millisecond, 20*time.Millisecond)
			store := newStore(fake.Client(), "one")
			const calls = 1000
			var all sync.WaitGroup
			for n := range calls {
				time.Sleep(time.Second / time.Duration(c.rate))
				all.Go(func() {
					ticket, _, err := store.Claim(t.Context(), call(fmt.Sprint(n), fmt.Sprint(n)))
					if err != nil {
						t.Errorf("claim failed: %v", err)
					}
					store.Complete(t.Context(), ticket, responseOf("x"))
				})
			}
			all.Wait()
			writes := int(fake.Counts().Writes)
			t.Logf("%d calls at %d/s cost %d transactions and %d reads", calls, c.rate, writes, fake.Counts().Reads)
			if writes > c.maxTransactions {
				t.Errorf("%d calls cost %d transactions", calls, writes)
			}
		})
	}
}

func TestOneConflictDoesNotFailTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		fake.SetDelay(10*time.Millisecond, 20*time.Millisecond)
		if _, _, err := newStore(fake.Client(), "zero").Claim(t.Context(), call("old", "7")); err != nil {
			t.Fatal(err)
		}
		store := newStore(fake.Client(), "one")
		var all sync.WaitGroup
		for n := range 40 {
			all.Go(func() {
				_, _, err := store.Claim(t.Context(), call(fmt.Sprint("id", n), fmt.Sprint(n)))
				if (err != nil) != (n == 7) {
					t.Errorf("claim %d got %v", n, err)
				}
			})
		}
		all.Wait()
	})
}

func TestRetentionAndSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		store := newStore(fake.Client(), "one")
		for n := range 150 {
			if _, _, err := store.Claim(t.Context(), call(fmt.Sprint(n), fmt.Sprint(n))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(24 * time.Hour)
		if _, _, err := store.Claim(t.Context(), call("again", "3")); err == nil {
			t.Error("a claim was lost within its retention")
		}
		remaining := func() int {
			rows, _ := fake.Client().Scan(t.Context(), table, "", "", 1000)
			return len(rows)
		}
		if more, err := store.Sweep(t.Context()); more || err != nil || remaining() != 150 {
			t.Errorf("a sweep within the retention left %d rows, %v", remaining(), err)
		}
		time.Sleep(48 * time.Hour)
		for _, want := range []int{50, 0} {
			if _, err := store.Sweep(t.Context()); err != nil || remaining() != want {
				t.Errorf("a sweep left %d rows, want %d: %v", remaining(), want, err)
			}
		}
	})
	if invariant.Violations() != 0 {
		t.Error("an invariant was violated")
	}
}
