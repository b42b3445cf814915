package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var daemonsFlag = flag.Int("daemons", 118, "largest number of daemons")

// TestTrackerCountsCrashes checks what counts against a request. In the steps, "b" is a lost connection to a
// replica, "a" a full response, "s" an attempt without a response, "e" the end of that replica and "w" a wait
// of 10 s.
func TestTrackerCountsCrashes(t *testing.T) {
	cases := []struct {
		name, trace string
		want        int
	}{
		{"connections lost to three replicas", "b1 b2 b3", 3},
		{"three crashes of one replica that restarts", "b1 b1 b1", 3},
		{"a response offsets one crash", "a b1 b2", 1},
		{"the same request from many clients", "a a a a b1 b2 b3", 0},
		{"a response after one crash", "b1 a", 0},
		{"a response after the request was refused", "b1 b2 b3 a", 3},
		{"unanswered attempts alone", "s1 s2 s3", 0},
		{"unanswered attempts, then the end", "s1 e1 s2 e2 s3 e3", 3},
		{"the end of another replica", "s1 e2", 0},
		{"the end long after", "s1 w e1", 0},
		{"one end counts once", "s1 e1 e1", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, now := NewTracker(3), time.Unix(1000, 0)
			for _, step := range parseTrace(c.trace) {
				switch step.event {
				case 'b':
					tracker.ConnectionLost(Causes{Request: 1}, crash(step.replica), now)
				case 'a':
					tracker.Answered(Causes{Request: 1}, 0, now)
				case 's':
					tracker.NoResponse(Causes{Request: 1}, crash(step.replica), now)
				case 'e':
					tracker.ReplicaEnded(crash(step.replica), now)
				case 'w':
					now = now.Add(10 * time.Second)
				}
			}
			suspect, _ := tracker.Suspect(1, now)
			_, refused := tracker.Refused(1, now)
			if len(suspect.Crashes) != c.want || refused != (c.want >= 3) {
				t.Errorf("%d crashes are counted, refused %v", len(suspect.Crashes), refused)
			}
		})
	}
}

// traceStep is one step of a trace.
type traceStep struct {
	event   byte
	replica int
}

func parseTrace(trace string) []traceStep {
	var steps []traceStep
	for _, char := range []byte(trace) {
		switch {
		case char == ' ':
		case char >= '0' && char <= '9':
			steps[len(steps)-1].replica = int(char - '0')
		default:
			steps = append(steps, traceStep{event: char})
		}
	}
	return steps
}

// site simulates daemons that share suspects by gossip: each exchanges suspects with a random one ten times a
// second, and a tenth of the exchanges is lost.
type site struct {
	trackers []*Tracker
	random   *rand.Rand
	now      time.Time
}

// pass simulates a tenth of a second.
func (site *site) pass() {
	site.now = site.now.Add(100 * time.Millisecond)
	for _, tracker := range site.trackers {
		other := site.trackers[site.random.IntN(len(site.trackers))]
		if site.random.IntN(10) == 0 {
			continue
		}
		shared := tracker.Share(32, site.now)
		tracker.Import(other.Share(32, site.now), site.now)
		other.Import(shared, site.now)
	}
}

// TestCrashRequestAmongManyDaemons guards against issue 22: a request that crashes every replica is sent again
// through any daemon, while crashes also make suspects of many other requests. No daemon may send the request on
// later than 3 s after the third crash.
func TestCrashRequestAmongManyDaemons(t *testing.T) {
	for _, size := range []int{4, 30, *daemonsFlag} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			site := &site{random: rand.New(rand.NewPCG(uint64(size), 3)), now: time.Unix(1000, 0)}
			for range size {
				site.trackers = append(site.trackers, NewTracker(3))
			}
			var crashes int
			var thirdCrash time.Time
			for step := range 200 {
				site.pass()
				if step == 5 {
					site.crashMany()
				}
				if step%3 != 0 {
					continue
				}
				tracker := site.trackers[site.random.IntN(size)]
				if _, refused := tracker.Refused(1, site.now); refused {
					continue
				}
				if crashes >= 3 && site.now.Sub(thirdCrash) > 3*time.Second {
					t.Errorf("sent on %v after the third crash", site.now.Sub(thirdCrash))
				}
				crashes++
				if crashes == 3 {
					thirdCrash = site.now
				}
				tracker.ConnectionLost(Causes{Request: 1}, crash(crashes), site.now)
			}
			t.Logf("%d crashes", crashes)
		})
	}
}

// crashMany makes each daemon count crashes of other requests.
func (site *site) crashMany() {
	for index, tracker := range site.trackers {
		for request := range uint64(5) {
			tracker.ConnectionLost(Causes{Request: 1000 + uint64(index)*5 + request}, crash(100+int(request)), site.now)
		}
	}
}

// TestNewDaemonLearnsRefusedRequests covers a daemon that starts long after the crashes.
func TestNewDaemonLearnsRefusedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	old, fresh := NewTracker(3), NewTracker(3)
	for n := range 3 {
		old.ConnectionLost(Causes{Request: 1}, crash(n), now)
	}
	for range 100 {
		old.Share(32, now)
	}
	refusals := fresh.Refusals()
	if refused := fresh.Import(old.Share(32, now), now); len(refused) != 1 {
		t.Errorf("the first share contains %d refused requests, want 1", len(refused))
	}
	select {
	case <-refusals:
	default:
		t.Error("the channel of Refusals is not closed")
	}
}

// TestSuspectsAreRecordedOnce covers which suspects a daemon records in the store.
func TestSuspectsAreRecordedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	own, other := NewTracker(3), NewTracker(3)
	own.ConnectionLost(Causes{Request: 1}, crash(1), now)
	if len(own.Unrecorded()) != 0 {
		t.Error("a suspect with one crash is recorded")
	}
	other.ConnectionLost(Causes{Request: 1}, crash(2), now)
	own.Import(other.Share(8, now), now)
	if got := own.Unrecorded(); len(got) != 1 || len(got[0].Crashes) != 2 {
		t.Errorf("the suspects to record are %+v", got)
	}
	if len(own.Unrecorded()) != 0 {
		t.Error("a suspect is recorded again without another crash")
	}
	third := NewTracker(3)
	third.Import(own.Share(8, now), now)
	if len(third.Unrecorded()) != 0 {
		t.Error("a daemon records a suspect that it only imported")
	}
}

// TestMemoryOfTrackersIsBounded covers replicas with many unanswered attempts, and suspects that are never shared.
func TestMemoryOfTrackersIsBounded(t *testing.T) {
	tracker, now := NewTracker(3), time.Unix(1000, 0)
	for n := range 3 * maxUnansweredPerReplica {
		tracker.NoResponse(Causes{Request: uint64(100 + n)}, crash(1), now)
	}
	tracker.NoResponse(Causes{Request: 1}, crash(1), now)
	if counted := tracker.ReplicaEnded(crash(1), now); len(counted) != maxUnansweredPerReplica || counted[maxUnansweredPerReplica-1] != 1 {
		t.Errorf("%d attempts are counted, or the last is not among them", len(counted))
	}
	for n := range 2 * maxUnansweredReplicas {
		tracker.NoResponse(Causes{Request: 1}, crash(n), now)
	}
	tracker.NoResponse(Causes{Request: 1}, crash(-1), now.Add(unansweredWindow))
	if len(tracker.unanswered) != 1 {
		t.Errorf("%d replicas have unanswered attempts, want 1", len(tracker.unanswered))
	}
	for n := range uint64(3 * capacity) {
		tracker.ConnectionLost(Causes{Request: 1000 + n}, crash(1), now)
	}
	if queue := &tracker.registry.shareQueue; len(queue.changed) > capacity || len(queue.shareCounts) != len(queue.changed) || len(tracker.ownCrashes) > capacity {
		t.Errorf("%d changed suspects, %d share counts, %d requests with own crashes", len(queue.changed), len(queue.shareCounts), len(tracker.ownCrashes))
	}
}

// TestCrashesAreNumberedWhileManyRequestsCrash covers a request that crashes one incarnation again and again, whose new row is late,
// while so many other requests crash that not all can be remembered.
func TestCrashesAreNumberedWhileManyRequestsCrash(t *testing.T) {
	tracker, now := NewTracker(3), time.Unix(1000, 0)
	for range 2 {
		tracker.ConnectionLost(Causes{Request: 1}, crash(1), now)
	}
	for number := range 2 * capacity {
		tracker.ConnectionLost(Causes{Request: uint64(1000 + number)}, crash(number), now)
	}
	if counted := tracker.ConnectionLost(Causes{Request: 1}, crash(1), now); counted != 3 {
		t.Errorf("%d crashes count, want 3", counted)
	}
	if kept := len(tracker.ownCrashes); kept > capacity {
		t.Errorf("the crashes of %d requests are kept", kept)
	}
}
