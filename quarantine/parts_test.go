package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// TestCrashesOfParts checks what counts against the parts of prompts. In the steps, "b1" is a broken connection to replica 1
// of a request with the parts 10 and 20, "c1" the same of one with the parts 10 and 30, "a" a full response to one with the
// part 10 and "d" to one with 10 and 20, "w" a wait of two seconds.
func TestCrashesOfParts(t *testing.T) {
	cases := []struct {
		name, trace string
		refused     map[uint64]bool
	}{
		{"two crashes", "b1 w b2", map[uint64]bool{}},
		{"three crashes", "b1 w b2 w b3", map[uint64]bool{10: true, 20: true}},
		{"one crash of many requests in flight", "b1 b1 b1 b1", map[uint64]bool{}},
		{"a replica that restarts and crashes again", "b1 w b1 w b1", map[uint64]bool{10: true, 20: true}},
		{"a response to the company", "b1 w a b2 w b3", map[uint64]bool{20: true}},
		{"a response just before the crashes", "a b1 w b2 w b3", map[uint64]bool{20: true}},
		{"a response long before the crashes", "a w w b1 w b2 w b3", map[uint64]bool{10: true, 20: true}},
		{"crashes that another part explains", "b1 w b2 w b3 w c4", map[uint64]bool{10: true}},
		{"a response after the refusal", "b1 w b2 w b3 w d", map[uint64]bool{}},
		{"crashes that two parts without a response explain", "c1 w c2 w c3 a b4 w b5 w b6", map[uint64]bool{20: true, 30: true}},
		{"a crash of another cause", "c1 w a w b2 w b3 w b4", map[uint64]bool{20: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, now := NewTracker(3), time.Unix(1000, 0)
			unique := uint64(1000)
			for _, step := range parseTrace(c.trace) {
				unique++
				switch step.event {
				case 'b':
					tracker.ConnectionLost(Causes{unique, []uint64{10, 20}}, crash(step.replica), now)
				case 'c':
					tracker.ConnectionLost(Causes{unique, []uint64{10, 30}}, crash(step.replica), now)
				case 'a':
					tracker.Answered(Causes{unique, []uint64{10}}, 0, now)
				case 'd':
					tracker.Answered(Causes{unique, []uint64{10, 20}}, 0, now)
				case 'w':
					now = now.Add(2 * time.Second)
				}
			}
			for _, part := range []uint64{10, 20, 30} {
				if _, refused := tracker.Refused(part, now); refused != c.refused[part] {
					suspect, _ := tracker.Suspect(part, now)
					t.Errorf("part %d is refused: %v, crashes %v", part, refused, suspect.Crashes)
				}
			}
		})
	}
}

// deadlyTracker returns a tracker that refuses the parts 10 and 20 after the same crashes, the last of which is now.
func deadlyTracker(now time.Time) *Tracker {
	tracker := NewTracker(3)
	for n := range 3 {
		at := now.Add(-time.Duration(2-n) * time.Second)
		tracker.ConnectionLost(Causes{uint64(100 + n), []uint64{10, 20}}, crash(n), at)
	}
	return tracker
}

// TestManyCrashesAtOnceAreOneOccasion covers replicas that crash at once for a reason that no request has, with a popular part in
// flight at most of them, at several daemons. It guards against a fault of the first rule for parts, which refused popular parts.
func TestManyCrashesAtOnceAreOneOccasion(t *testing.T) {
	const replicas, daemons = 20, 4
	cases := []struct {
		name string
		// storms is how often all replicas crash at once, and spread the time over which they do.
		storms int
		spread time.Duration
		silent bool
		// answered states that a request with the part is answered after each storm.
		answered, want bool
	}{
		{"one storm", 1, 100 * time.Millisecond, false, false, false},
		{"one storm of silent replicas", 1, 1500 * time.Millisecond, true, false, false},
		{"two storms", 2, 100 * time.Millisecond, false, false, false},
		{"three storms without a response", 3, 100 * time.Millisecond, false, false, true},
		{"three storms with responses", 3, 100 * time.Millisecond, false, true, false},
		{"crashes one after the other", 1, 10 * time.Second, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var trackers []*Tracker
			for range daemons {
				trackers = append(trackers, NewTracker(3))
			}
			unique := uint64(1000)
			for storm := range c.storms {
				begin := now
				for replica := range replicas {
					now = begin.Add(c.spread * time.Duration(replica) / replicas)
					unique++
					causes, ended := Causes{unique, []uint64{10}}, Crash{Upstream: fmt.Sprint(replica), BootID: fmt.Sprint(storm)}
					tracker := trackers[replica%daemons]
					if c.silent {
						tracker.NoResponse(causes, ended, now)
						tracker.ReplicaEnded(ended, now)
					} else {
						tracker.ConnectionLost(causes, ended, now)
					}
				}
				for _, tracker := range trackers {
					for _, other := range trackers {
						tracker.Import(other.Share(32, now), now)
					}
				}
				now = now.Add(3 * time.Second)
				for _, tracker := range trackers {
					if c.answered {
						tracker.Answered(Causes{unique, []uint64{10}}, 0, now)
					}
				}
			}
			for index, tracker := range trackers {
				if _, refused := tracker.Refused(10, now); refused != c.want {
					t.Errorf("the part is refused by daemon %d: %v", index, refused)
				}
			}
		})
	}
}

// TestTrialsTellPartsApart checks that of two parts with the same crashes the sound one is released by one trial, and the
// other stays refused: a request with both is never a trial.
func TestTrialsTellPartsApart(t *testing.T) {
	now := time.Unix(1000, 0)
	sound, both := Causes{1, []uint64{10}}, Causes{2, []uint64{10, 20}}
	tracker := deadlyTracker(now)
	if admission := tracker.Admit(sound, 0, now); !admission.Refused || admission.RetryAfter != trialTurn {
		t.Errorf("admitted at once: %+v", admission)
	}
	now = now.Add(ambiguousTrialDelay)
	if !tracker.Admit(both, 0, now).Refused {
		t.Error("a request with two refused parts is tried")
	}
	first := tracker.Admit(sound, 0, now)
	if first.Refused || first.Trial != 10 {
		t.Fatalf("no trial: %+v", first)
	}
	if !tracker.Admit(sound, 0, now).Refused {
		t.Error("two requests are tried at once")
	}
	if tracker.Admit(sound, first.Trial, now).Refused {
		t.Error("the trial is refused when it is checked again")
	}
	tracker.Answered(sound, first.Trial, now)
	tracker.EndTrial(first.Trial, now)
	if tracker.Admit(sound, 0, now).Refused || !tracker.Admit(both, 0, now).Refused {
		t.Error("the trial did not tell the parts apart")
	}
}

// TestFailedTrialsBecomeRare checks that a part that crashes replicas in trials too is tried at most three times before it
// expires, and that whole requests are never tried.
func TestFailedTrialsBecomeRare(t *testing.T) {
	begin := time.Unix(1000, 0)
	tracker, crashes, trials := NewTracker(3), 3, 0
	for n := range 3 {
		at := begin.Add(-time.Duration(2-n) * time.Second)
		tracker.ConnectionLost(Causes{uint64(100 + n), []uint64{20}}, crash(n), at)
		tracker.ConnectionLost(Causes{Request: 7}, crash(n), at)
	}
	for now := begin; now.Sub(begin) < Retention; now = now.Add(time.Second) {
		if !tracker.Admit(Causes{Request: 7}, 0, now).Refused {
			t.Fatal("a whole request is tried")
		}
		admission := tracker.Admit(Causes{uint64(now.Unix()), []uint64{20}}, 0, now)
		if admission.Refused {
			continue
		}
		trials++
		tracker.ConnectionLost(Causes{uint64(now.Unix()), []uint64{20}}, crash(crashes), now)
		tracker.EndTrial(admission.Trial, now)
		crashes++
	}
	if trials == 0 || trials > 3 {
		t.Errorf("%d trials, want 1 to 3", trials)
	}
}
