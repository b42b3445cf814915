package fleet

import (
	"fmt"
	"testing"
	"time"

	testclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/upstream"
)

var start = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

func newState(name, boot string, sequence uint64, phase upstream.Phase) upstream.State {
	return upstream.State{
		Upstream: name, BootID: boot, Sequence: sequence,
		Replicas: []upstream.Replica{{Model: "m", Version: "1", Phase: phase}},
	}
}

func TestPutKeepsTheNewest(t *testing.T) {
	clock := testclock.NewFakePassiveClock(start)
	for _, test := range []struct {
		name     string
		state    upstream.State
		asOf     time.Duration
		accepted bool
		notifies bool
	}{
		{"later sequence of the boot", newState("u", "a", 6, upstream.Ready), time.Second, true, true},
		{"same sequence again", newState("u", "a", 5, upstream.Ready), time.Second, false, false},
		{"earlier sequence received late", newState("u", "a", 4, upstream.Ready), time.Second, false, false},
		{"load only", newState("u", "a", 6, upstream.Loading), time.Second, true, false},
		{"new boot", newState("u", "b", 1, upstream.Loading), time.Second, true, true},
		{"old boot received late", newState("u", "b", 1, upstream.Loading), -time.Second, false, false},
		{"unknown upstream", newState("v", "a", 9, upstream.Ready), time.Second, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := New(clock)
			fleet.SetMembers([]Member{{Name: "u"}})
			fleet.Put(newState("u", "a", 5, upstream.Loading), start, true)
			changed := fleet.Changed()
			if got := fleet.Put(test.state, start.Add(test.asOf), false); got != test.accepted {
				t.Errorf("accepted is %t, want %t", got, test.accepted)
			}
			if got := isClosed(changed); got != test.notifies {
				t.Errorf("Changed closed is %t, want %t", got, test.notifies)
			}
		})
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestLeavingSinceIsTheFirstReport(t *testing.T) {
	clock := testclock.NewFakePassiveClock(start)
	fleet := New(clock)
	fleet.SetMembers([]Member{{Name: "u"}})
	leaving := newState("u", "a", 1, upstream.Ready)
	leaving.Leaving = true
	fleet.Put(leaving, start, true)
	clock.SetTime(start.Add(time.Minute))
	fleet.SetMembers([]Member{{Name: "u", Leaving: true}})
	entry, _ := fleet.Upstream("u")
	if !entry.Leaving() || !entry.Member.LeavingSince.Equal(start) {
		t.Errorf("leaving since %v, want %v", entry.Member.LeavingSince, start)
	}
}

// TestLeavingEndsWithItsReports covers an upstream that was reported to be leaving and stays.
func TestLeavingEndsWithItsReports(t *testing.T) {
	fleet := New(testclock.NewFakePassiveClock(start))
	fleet.SetMembers([]Member{{Name: "u", Leaving: true}})
	leaving, staying := newState("u", "a", 1, upstream.Ready), newState("u", "a", 2, upstream.Ready)
	leaving.Leaving = true
	fleet.Put(leaving, start, true)
	fleet.SetMembers([]Member{{Name: "u"}})
	if entry, _ := fleet.Upstream("u"); entry.Member.LeavingSince.IsZero() {
		t.Error("it is not leaving any more although the engine reports so")
	}
	fleet.Put(staying, start.Add(time.Second), true)
	if entry, _ := fleet.Upstream("u"); entry.Leaving() || !entry.Member.LeavingSince.IsZero() {
		t.Errorf("leaving since %v, want never", entry.Member.LeavingSince)
	}
}

func TestANewIncarnationLosesItsState(t *testing.T) {
	fleet := New(testclock.NewFakePassiveClock(start))
	fleet.SetMembers([]Member{{Name: "u", Incarnation: "1"}})
	fleet.Put(newState("u", "a", 5, upstream.Ready), start, true)
	if got := len(fleet.HostedReplicas("m")); got != 1 {
		t.Fatalf("%d replicas, want 1", got)
	}
	fleet.SetMembers([]Member{{Name: "u", Incarnation: "2"}})
	if got := len(fleet.HostedReplicas("m")); got != 0 {
		t.Errorf("%d replicas after the VM was replaced, want 0", got)
	}
}

// BenchmarkPutAndRead puts states of upstreams that hold eight replicas each, of models on three upstreams each.
func BenchmarkPutAndRead(b *testing.B) {
	for _, upstreams := range []int{120, 600} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			fleet := New(testclock.NewFakePassiveClock(start))
			members := make([]Member, upstreams)
			states := make([]upstream.State, upstreams)
			for index := range members {
				members[index].Name = fmt.Sprintf("upstream-%03d", index)
				states[index] = upstream.State{Upstream: members[index].Name, BootID: "a"}
				for replica := range 8 {
					model := fmt.Sprintf("model-%d-%d", index/3, replica)
					states[index].Replicas = append(states[index].Replicas, upstream.Replica{Model: model, Version: "1", Phase: upstream.Ready})
				}
			}
			fleet.SetMembers(members)
			b.ReportAllocs()
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				state := states[sequence%uint64(upstreams)]
				state.Sequence = sequence
				fleet.Put(state, start, true)
				fleet.HostedReplicas("model-1-1")
			}
		})
	}
}
