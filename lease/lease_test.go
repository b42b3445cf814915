package lease

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"k8s.io/klog/v2"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/platformfake"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fixture is one table service whose candidates share one clock.
type fixture struct {
	clock    *testingclock.FakeClock
	platform *platformfake.Platform
}

func newFixture(seed uint64) *fixture {
	clock := testingclock.NewFakeClock(time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC))
	return &fixture{clock: clock, platform: platformfake.New(clock, rand.New(rand.NewPCG(seed, 1)))}
}

func (fixture *fixture) candidate(name, dataCentre string) (*Lease, *platformfake.Client) {
	client := fixture.platform.Client()
	holder := Holder{Name: name, Incarnation: name + "-1", DataCentre: dataCentre}
	return New(client, Settings{DataCentre: "fukuoka"}, fixture.clock, holder), client
}

func held(lease *Lease) bool {
	_, _, ok := lease.Held()
	return ok
}

func mustStep(t *testing.T, lease *Lease) {
	t.Helper()
	if err := lease.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestSuccessorWaitsOneFullTerm(t *testing.T) {
	fixture := newFixture(1)
	first, _ := fixture.candidate("entry-1", "fukuoka")
	second, _ := fixture.candidate("entry-2", "fukuoka")
	mustStep(t, first)
	fixture.clock.Step(8 * time.Second)
	mustStep(t, second)
	fixture.clock.Step(9 * time.Second)
	mustStep(t, second)
	if held(second) {
		t.Fatal("acquired 9 s after the row was first read, want 10 s")
	}
	if held(first) {
		t.Fatal("the first candidate holds the lease past its term")
	}
	fixture.clock.Step(time.Second)
	mustStep(t, second)
	fence, _, ok := second.Held()
	if !ok || fence != 2 {
		t.Fatalf("fence %d, held %t, want 2 and true", fence, ok)
	}
}

// TestEndOfFormerHolderIsNoEarlierThanItsTerm guards against a successor that counts the turnover from a time at which the former
// holder could still send orders. The successor acquires the lease late.
func TestEndOfFormerHolderIsNoEarlierThanItsTerm(t *testing.T) {
	for _, released := range []bool{false, true} {
		fixture := newFixture(1)
		first, _ := fixture.candidate("entry-1", "fukuoka")
		second, _ := fixture.candidate("entry-2", "fukuoka")
		mustStep(t, first)
		fixture.clock.Step(time.Second)
		_, until, _ := first.Held()
		want := fixture.clock.Now().Add(10 * time.Second)
		if released {
			if err := first.Release(context.Background()); err != nil {
				t.Fatal(err)
			}
			until, want = fixture.clock.Now(), fixture.clock.Now()
		} else {
			mustStep(t, second)
			fixture.clock.Step(13 * time.Second)
		}
		mustStep(t, second)
		if got := second.FormerEnded(); !held(second) || got.Before(until) || !got.Equal(want) {
			t.Errorf("released %t: the former holder ended %v after its term, want %v", released, got.Sub(until), want.Sub(until))
		}
	}
}

func TestFormerHolderCannotWriteUnderItsGuard(t *testing.T) {
	fixture := newFixture(1)
	first, client := fixture.candidate("entry-1", "fukuoka")
	second, _ := fixture.candidate("entry-2", "fukuoka")
	mustStep(t, first)
	guard, _ := first.Guard()
	mustStep(t, second)
	fixture.clock.Step(11 * time.Second)
	mustStep(t, second)
	if _, err := client.Commit(context.Background(), []datastore.Write{guard}); err == nil {
		t.Fatal("a transaction under the guard of a former holder was accepted")
	}
	mustStep(t, first)
	if _, owned := first.Owned(); owned {
		t.Fatal("the former holder still owns the lease after a renewal was refused")
	}
}

func TestTermAfterUnclearRenewalCountsFromItsStart(t *testing.T) {
	for _, fault := range []platformfake.Fault{platformfake.UnclearWithEffect, platformfake.UnclearWithoutEffect, platformfake.UnclearLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			fixture := newFixture(1)
			lease, client := fixture.candidate("entry-1", "fukuoka")
			mustStep(t, lease)
			fixture.clock.Step(3 * time.Second)
			sent := fixture.clock.Now()
			client.FailWrites(fault)
			client.FailReads(1)
			_ = lease.Step(context.Background())
			fixture.clock.Step(time.Second)
			client.FailReads(1)
			fixture.platform.ApplyLate()
			_ = lease.Step(context.Background())
			fixture.clock.Step(time.Second)
			mustStep(t, lease)
			_, until, ok := lease.Held()
			if !ok {
				t.Fatal("the lease was lost")
			}
			if fault != platformfake.UnclearWithoutEffect && until.After(sent.Add(9*time.Second)) {
				t.Fatalf("held until %v after the unclear renewal, want at most 9 s", until.Sub(sent))
			}
		})
	}
}

func TestUnclearAcquisitionIsResumed(t *testing.T) {
	fixture := newFixture(1)
	lease, client := fixture.candidate("entry-1", "fukuoka")
	client.FailWrites(platformfake.UnclearLate)
	_ = lease.Step(context.Background())
	if held(lease) {
		t.Fatal("the lease is held although the result of the write is unclear")
	}
	fixture.platform.ApplyLate()
	mustStep(t, lease)
	if fence, _, ok := lease.Held(); !ok || fence != 1 {
		t.Fatalf("fence %d, held %t, want 1 and true", fence, ok)
	}
}

func TestRemoteHolderTransfersLeaseToLocalDaemon(t *testing.T) {
	fixture := newFixture(1)
	remote, _ := fixture.candidate("entry-9", "kumamoto")
	mustStep(t, remote)
	local, _ := fixture.candidate("entry-1", "fukuoka")
	longest, unheld := time.Duration(0), time.Duration(0)
	for second := range 20 {
		fixture.clock.Step(time.Second)
		mustStep(t, local)
		if second%3 == 0 {
			mustStep(t, remote)
		}
		unheld += time.Second
		if held(local) || held(remote) {
			unheld = 0
		}
		longest = max(longest, unheld)
	}
	if !held(local) || held(remote) {
		t.Fatalf("local %t, remote %t", held(local), held(remote))
	}
	if longest > time.Second {
		t.Errorf("the lease had no holder for %v", longest)
	}
}

func TestRemoteHolderIgnoresUnrepeatedRequest(t *testing.T) {
	fixture := newFixture(1)
	remote, _ := fixture.candidate("entry-9", "kumamoto")
	mustStep(t, remote)
	local, _ := fixture.candidate("entry-1", "fukuoka")
	mustStep(t, local)
	for range 5 {
		fixture.clock.Step(3 * time.Second)
		mustStep(t, remote)
	}
	if !held(remote) {
		t.Fatal("transferred the lease for a request that was not repeated")
	}
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	fixture := newFixture(1)
	first, _ := fixture.candidate("entry-1", "fukuoka")
	second, _ := fixture.candidate("entry-2", "fukuoka")
	mustStep(t, first)
	mustStep(t, second)
	if err := first.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	mustStep(t, second)
	if fence, _, ok := second.Held(); !ok || fence != 2 {
		t.Fatalf("fence %d, held %t, want 2 and true", fence, ok)
	}
}

// TestRestartedProcessAcquiresItsLeaseAtOnce covers a power failure of the whole site: the VM of the holder restarts
// and need not wait for a term, since no other process runs on it.
func TestRestartedProcessAcquiresItsLeaseAtOnce(t *testing.T) {
	fixture := newFixture(1)
	first, _ := fixture.candidate("entry-1", "fukuoka")
	mustStep(t, first)
	fixture.clock.Step(time.Second)
	settings := Settings{DataCentre: "fukuoka", OneProcess: true}
	restarted := New(fixture.platform.Client(), settings, fixture.clock, Holder{Name: "entry-1", Incarnation: "entry-1-2"})
	mustStep(t, restarted)
	fence, _, ok := restarted.Held()
	if !ok || fence != 2 || restarted.Former().Name != "entry-1" {
		t.Errorf("fence %d, held %t, former holder %q", fence, ok, restarted.Former().Name)
	}
	other := New(fixture.platform.Client(), settings, fixture.clock, Holder{Name: "entry-2", Incarnation: "entry-2-1"})
	mustStep(t, other)
	if held(other) {
		t.Error("another VM acquired the lease within its term")
	}
}

// TestRestartWithinSettleTimeKeepsFormerVM covers a holder that acquired the lease from another VM and is killed
// right after: messages of the other VM may still arrive when the next process of the holder has the lease.
func TestRestartWithinSettleTimeKeepsFormerVM(t *testing.T) {
	for renewals, want := range map[int]string{0: "entry-1", 1: "entry-1", 2: "entry-2"} {
		fixture := newFixture(1)
		settings := Settings{DataCentre: "fukuoka", OneProcess: true, RenewEvery: 2 * time.Second, SettleTime: 3 * time.Second}
		start := func(name string, run int) *Lease {
			return New(fixture.platform.Client(), settings, fixture.clock, Holder{Name: name, Incarnation: fmt.Sprint(run), DataCentre: "fukuoka"})
		}
		first := start("entry-1", 1)
		mustStep(t, first)
		if err := first.Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		second := start("entry-2", 1)
		mustStep(t, second)
		for range renewals {
			fixture.clock.Step(settings.RenewEvery)
			mustStep(t, second)
		}
		for run := 2; run < 4; run++ {
			restarted := start("entry-2", run)
			mustStep(t, restarted)
			if got := restarted.Former().Name; got != want {
				t.Errorf("after %d renewals the former holder of run %d is %q, want %q", renewals, run, got, want)
			}
		}
	}
}
