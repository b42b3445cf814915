package fleet

import (
	"fmt"
	"testing"
	"time"

	testclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/upstream"
)

var start = time.Date(2026, 1, 5, 5, 0, 0, 0, time.UTC)

func ready(name, boot string, sequence uint64, phase upstream.Phase) upstream.State {
	return upstream.State{
		Upstream: name, BootID: boot, Sequence: sequence,
		Replicas: []upstream.Replica{{Model: "m", Version: "1", Phase: phase}},
	}
}

func TestPutKeepsTheNewest(t *testing.T) {
	clock := testclock.NewFakePassiveClock(start)
	for _, test := range []struct {
		name   string
		state  upstream.State
		asOf   time.Duration
		taken  bool
		wakens bool
	}{
		{"later sequence of the boot", ready("u", "a", 6, upstream.Ready), time.Second, true, true},
		{"same sequence again", ready("u", "a", 5, upstream.Ready), time.Second, false, false},
		{"earlier sequence heard late", ready("u", "a", 4, upstream.Ready), time.Second, false, false},
		{"load only", ready("u", "a", 6, upstream.Loading), time.Second, true, false},
		{"new boot", ready("u", "b", 1, upstream.Loading), time.Second, true, true},
		{"old boot heard late", ready("u", "b", 1, upstream.Loading), -time.Second, false, false},
		{"unknown upstream", ready("v", "a", 9, upstream.Ready), time.Second, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := New(clock)
			fleet.SetMembers([]Member{{Name: "u"}})
			fleet.Put(ready("u", "a", 5, upstream.Loading), start, true)
			changed := fleet.Changed()
			if got := fleet.Put(test.state, start.Add(test.asOf), false); got != test.taken {
				t.Errorf("taken is %t, want %t", got, test.taken)
			}
			if got := isClosed(changed); got != test.wakens {
				t.Errorf("waiters woken is %t, want %t", got, test.wakens)
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

func TestLeavingSinceIsTheFirstSign(t *testing.T) {
	clock := testclock.NewFakePassiveClock(start)
	fleet := New(clock)
	fleet.SetMembers([]Member{{Name: "u"}})
	leaving := ready("u", "a", 1, upstream.Ready)
	leaving.Leaving = true
	fleet.Put(leaving, start, true)
	clock.SetTime(start.Add(time.Minute))
	fleet.SetMembers([]Member{{Name: "u", Leaving: true}})
	known, _ := fleet.Upstream("u")
	if !known.Leaving() || !known.Member.LeavingSince.Equal(start) {
		t.Errorf("leaving since %v, want %v", known.Member.LeavingSince, start)
	}
}

func TestANewIncarnationLosesItsState(t *testing.T) {
	fleet := New(testclock.NewFakePassiveClock(start))
	fleet.SetMembers([]Member{{Name: "u", Incarnation: "1"}})
	fleet.Put(ready("u", "a", 5, upstream.Ready), start, true)
	if got := len(fleet.HostedReplicas("m")); got != 1 {
		t.Fatalf("%d places, want 1", got)
	}
	fleet.SetMembers([]Member{{Name: "u", Incarnation: "2"}})
	if got := len(fleet.HostedReplicas("m")); got != 0 {
		t.Errorf("%d places after the VM was replaced, want 0", got)
	}
}

// BenchmarkPutAndLook takes states of upstreams that hold eight replicas each, of models on three upstreams.
func BenchmarkPutAndLook(b *testing.B) {
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
