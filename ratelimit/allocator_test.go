package ratelimit

import (
	"testing"
	"time"
)

func TestGrant(t *testing.T) {
	cases := []struct {
		name string
		asks []Ask
		// gap is the time before each question.
		gap  time.Duration
		want []int
	}{
		{"a new bucket is empty", []Ask{{Wanted: 5}}, 0, []int{0}},
		{"unclaimed tokens are bounded", []Ask{{}, {Wanted: 100}}, time.Hour, []int{0, 5}},
		{"held tokens are bounded", []Ask{{}, {Wanted: 100, Held: 16}}, time.Second, []int{0, 2}},
		{"no token for a negative number", []Ask{{}, {Wanted: -1}}, time.Second, []int{0, 0}},
		{"unused tokens come back", []Ask{{}, {Wanted: 5}, {Sequence: 3, Answered: 2, Unused: 5, Wanted: 10}}, 500 * time.Millisecond, []int{0, 5, 10}},
		{"no more come back than were granted", []Ask{{}, {Wanted: 5}, {Unused: 1 << 30, Wanted: 100}}, 500 * time.Millisecond, []int{0, 5, 10}},
		{"tokens of a lost response come back", []Ask{{Sequence: 1}, {Sequence: 2, Answered: 1, Wanted: 5}, {Sequence: 3, Answered: 1, Wanted: 10}}, 500 * time.Millisecond, []int{0, 5, 10}},
		{"tokens of another process come back", []Ask{{Sequence: 1}, {Sequence: 2, Answered: 1, Wanted: 5}, {Sequence: 1, Wanted: 10}}, 500 * time.Millisecond, []int{0, 5, 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			allocator := NewAllocator()
			now := start
			for index, ask := range c.asks {
				now = now.Add(c.gap)
				if grant := allocator.Grant("d", ask, 10, now); grant.Tokens != c.want[index] {
					t.Errorf("question %d is granted %d tokens, want %d", index, grant.Tokens, c.want[index])
				}
			}
		})
	}
}

func TestAskersAreToldToAskLessOften(t *testing.T) {
	allocator := NewAllocator()
	var last Grant
	for index := range 80 {
		last = allocator.Grant(string(rune('a'+index)), Ask{Wanted: 1}, 100, start)
	}
	if want := 2 * time.Second; last.Next != want {
		t.Errorf("with 80 askers the next question is due after %v, want %v", last.Next, want)
	}
}

func TestGrantors(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	first := Grantors(names, replica.ID)
	if len(first) != 2 || first[0] == first[1] {
		t.Fatalf("grantors are %v", first)
	}
	membership := NewMembership(first[0], start)
	others := []Member{}
	for _, name := range names {
		if name != first[0] {
			others = append(others, Member{Name: name})
		}
	}
	membership.Observe(others, false, start)
	if share := membership.Share(replica.ID, start); share != 0 {
		t.Errorf("a daemon that has just started grants %v", share)
	}
	later := start.Add(settleTime)
	if share := membership.Share(replica.ID, later); share != firstShare {
		t.Errorf("the first grantor grants %v", share)
	}
	membership.Observe(others[:1], false, later)
	if share := membership.Share(replica.ID, later); share != firstShare/2 {
		t.Errorf("with two of four daemons in sight it grants %v", share)
	}
	membership.Observe(others[:1], false, later.Add(2*memberRetention))
	if share := membership.Share(replica.ID, later); share != firstShare {
		t.Errorf("with two daemons left it grants %v", share)
	}
	membership.Observe(others, true, later)
	if share := membership.Share(replica.ID, later); share != 0 {
		t.Errorf("a daemon that leaves grants %v", share)
	}
}

func TestRouteAvoidsAFailingGrantor(t *testing.T) {
	route := NewRoute()
	grantors := []string{"a", "b"}
	for range avoidAfter {
		if got := route.Choose(grantors, start); got != "a" {
			t.Errorf("%s is asked", got)
		}
		route.Failed("a", start)
	}
	if got := route.Choose(grantors, start); got != "b" {
		t.Errorf("%s is asked after failures of the first", got)
	}
	if got := route.Choose(grantors, start.Add(avoidTime)); got != "a" {
		t.Errorf("%s is asked later", got)
	}
	route.Answered("a")
	if got := route.Choose(grantors, start); got != "a" {
		t.Errorf("%s is asked once the first answers", got)
	}
}
