package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// newPair returns the sides of a daemon that is alone and has divided the quota of one account for long enough.
func newPair(perSecond, burst float64) (*Limiter, *Allocator, *topology.Account, time.Time) {
	account := &topology.Account{Name: "a", Quota: topology.Quota{PerSecond: perSecond, Burst: burst, Tokens: true}}
	allocator := NewAllocator("d", 0)
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		allocator.Observe([]topology.Account{*account}, NewMembers([]string{"d"}, 1, 0, now.Sub(start)), now)
	}
	return NewLimiter(rand.New(rand.NewPCG(1, 2))), allocator, account, now
}

// charge decides on a request, with one question if there is need.
func charge(limiter *Limiter, allocator *Allocator, account *topology.Account, cost float64, now time.Time) (Charge, time.Duration, bool) {
	waiter := limiter.Take(account, cost, now)
	for _, ask := range limiter.Due(now) {
		limiter.Granted(ask, allocator.Grant("d", ask, now), now)
	}
	return limiter.Leave(waiter, now)
}

// TestLargeRequestLeavesADebt guards against a request that costs more than the burst and is never admitted, or that is admitted without
// being paid for.
func TestLargeRequestLeavesADebt(t *testing.T) {
	limiter, allocator, account, now := newPair(100, 100)
	if _, _, admitted := charge(limiter, allocator, account, 400, now); !admitted {
		t.Fatal("the request is refused though the bucket is full")
	}
	_, retryAfter, admitted := charge(limiter, allocator, account, 50, now.Add(time.Second))
	if admitted || retryAfter < 2500*time.Millisecond || retryAfter > 4*time.Second {
		t.Errorf("with a debt of 200 a request of 50 is admitted: %t, or may return after %v", admitted, retryAfter)
	}
}

// TestReturnedChargeIsUsedAgain guards against requests that did not run and use up the quota.
func TestReturnedChargeIsUsedAgain(t *testing.T) {
	limiter, allocator, account, now := newPair(20, 100)
	for round := range 5 {
		charged, _, admitted := charge(limiter, allocator, account, 90, now.Add(time.Duration(round)*100*time.Millisecond))
		if !admitted {
			t.Fatalf("round %d is refused", round)
		}
		limiter.Return(charged)
	}
}

// TestHeldAmountExpires guards against a daemon that was frozen and uses what it was granted before.
func TestHeldAmountExpires(t *testing.T) {
	limiter, allocator, account, now := newPair(100, 100)
	if _, _, admitted := charge(limiter, allocator, account, 5, now); !admitted {
		t.Fatal("refused")
	}
	if held := limiter.States(now)[0].Held; held <= 0 {
		t.Errorf("%v is held ahead of demand", held)
	}
	if held := limiter.States(now.Add(amountLifetime))[0].Held; held != 0 {
		t.Errorf("%v is held after its lifetime", held)
	}
}

// TestRefillWithEarlierTimes guards against an interval that is granted twice since a caller read the clock before another one that came
// first.
func TestRefillWithEarlierTimes(t *testing.T) {
	filled := newBucket(start)
	filled.observe(topology.Quota{PerSecond: 100, Burst: 1000}, 0, true, Members{Live: []string{"a"}, Seen: 1}, start)
	filled.firstSince = start.Add(-firmTime)
	for _, at := range []time.Duration{time.Second, 0, time.Second, 500 * time.Millisecond, time.Second} {
		filled.refill(start.Add(at))
	}
	if filled.tokens != 100 {
		t.Errorf("%v tokens after a second at 100 per second", filled.tokens)
	}
}

// TestLateQuestionsGrantNothing guards against an amount that comes back although it arrived, since a question was answered after a later
// one, or since the process that got it has ended.
func TestLateQuestionsGrantNothing(t *testing.T) {
	known := &asker{sequence: 7, granted: 50}
	for _, c := range []struct {
		ask  Ask
		late bool
		back float64
	}{
		{Ask{Sequence: 6, Answered: 5}, true, 50},
		{Ask{Sequence: 8, Answered: 7}, false, 0},
		{Ask{Sequence: 8, Answered: 6}, false, 50},
		{Ask{Sequence: 1}, false, 0},
	} {
		if late, back := known.isLate(c.ask), known.returned(c.ask); late != c.late || back != c.back {
			t.Errorf("%+v: late %t, %v comes back", c.ask, late, back)
		}
	}
}
