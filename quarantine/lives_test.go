package quarantine

import (
	"testing"
	"time"
)

// TestReplicaThatLivesOnDidNotCrash guards against a finding in issue 38: a stream that a replica broke off counted as its crash at
// once, although the replica went on with its other responses, and three of them refused a sound part of prompts.
func TestReplicaThatLivesOnDidNotCrash(t *testing.T) {
	const length = 3 * time.Second
	cases := []struct {
		name string
		// from and to are when a response of the replica began and was complete, relative to the break.
		from, to time.Duration
		boot     string
		refused  bool
	}{
		{"a response that began before and ended later", -time.Second, length, "0", false},
		{"a response that began after", time.Millisecond, length, "0", true},
		{"a response that may have been on its way", -time.Second, 500 * time.Millisecond, "0", true},
		{"a response of another incarnation", -time.Second, length, "1", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, other := NewTracker(3), NewTracker(3)
			now := time.Unix(1000, 0)
			causes := Causes{Request: 7, Parts: []uint64{10}}
			for replica := range 3 {
				broken := Crash{Upstream: string(rune('a' + replica)), BootID: "0"}
				tracker.ConnectionLost(causes, broken, now)
				other.Import(tracker.Share(32, now), now)
				alive := Crash{Upstream: broken.Upstream, BootID: c.boot}
				tracker.Lives(alive, now.Add(c.from), now.Add(c.to))
				now = now.Add(length)
				exchange(tracker, other, now)
			}
			for name, tracker := range map[string]*Tracker{"this daemon": tracker, "another daemon": other} {
				for _, fingerprint := range []uint64{7, 10} {
					if _, refused := tracker.Refused(fingerprint, now); refused != c.refused {
						t.Errorf("%d is refused by %s: %v", fingerprint, name, refused)
					}
				}
			}
		})
	}
}

// exchange lets two daemons tell each other what they know.
func exchange(a, b *Tracker, now time.Time) {
	for range 3 {
		b.Import(a.Share(32, now), now)
		a.Import(b.Share(32, now), now)
	}
}

// TestRefusalEndsWithItsCrashes covers a part that is refused for crashes that turn out to be none.
func TestRefusalEndsWithItsCrashes(t *testing.T) {
	tracker, now := NewTracker(3), time.Unix(1000, 0)
	for replica := range 3 {
		tracker.ConnectionLost(Causes{uint64(100 + replica), []uint64{10}}, crash(replica), now.Add(time.Duration(replica)*time.Second))
	}
	now = now.Add(3 * time.Second)
	if _, refused := tracker.Refused(10, now); !refused {
		t.Fatal("the part is not refused")
	}
	tracker.Unrecorded()
	released := tracker.Lives(crash(1), now.Add(-5*time.Second), now)
	if _, refused := tracker.Refused(10, now); refused || len(released) != 1 || released[0].Fingerprint != 10 {
		t.Errorf("refused: %v, released %v", refused, released)
	}
	if unrecorded := tracker.Unrecorded(); len(unrecorded) != 1 {
		t.Errorf("%d suspects to record, want the released one", len(unrecorded))
	}
}

// TestManyBreaksAreBounded checks the memory for replicas that broke connections.
func TestManyBreaksAreBounded(t *testing.T) {
	tracker, now := NewTracker(3), time.Unix(1000, 0)
	for number := range 4 * maxUnansweredReplicas {
		tracker.ConnectionLost(Causes{Request: uint64(number)}, crash(number), now)
	}
	if kept := len(tracker.breaks); kept > maxUnansweredReplicas {
		t.Errorf("%d breaks are kept, want at most %d", kept, maxUnansweredReplicas)
	}
	tracker.Lives(crash(0), now, now.Add(2*unansweredWindow))
	tracker.ConnectionLost(Causes{Request: 1}, crash(0), now.Add(2*unansweredWindow))
	if kept := len(tracker.breaks); kept != 1 {
		t.Errorf("%d breaks are kept after all others have ended, want 1", kept)
	}
}
