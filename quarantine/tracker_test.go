package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var daemonsFlag = flag.Int("daemons", 118, "largest number of daemons")

// TestTrackersCount covers what counts against a request: "b" a break at a run of a replica, "a" an answer in full, "s" an
// attempt without a word, "e" the end of that replica, "w" a wait of 10 s.
func TestTrackersCount(t *testing.T) {
	cases := []struct {
		name, story string
		want        int
	}{
		{"breaks at three replicas", "b1 b2 b3", 3},
		{"three breaks at one that starts again", "b1 b1 b1", 3},
		{"an answer excuses one break", "a b1 b2", 1},
		{"many clients send alike", "a a a a b1 b2 b3", 0},
		{"an answer after a break", "b1 a", 0},
		{"an answer after breaks that are refused", "b1 b2 b3 a", 3},
		{"silence alone", "s1 s2 s3", 0},
		{"silence and then the end", "s1 e1 s2 e2 s3 e3", 3},
		{"the end of another replica", "s1 e2", 0},
		{"the end long after", "s1 w e1", 0},
		{"one end counts once", "s1 e1 e1", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, now := NewTracker(3), time.Unix(1000, 0)
			for _, step := range splitStory(c.story) {
				switch step.what {
				case 'b':
					tracker.ConnectionLost(1, crash(step.replica), now)
				case 'a':
					tracker.Answered(1)
				case 's':
					tracker.NoResponse(1, crash(step.replica), now)
				case 'e':
					tracker.ReplicaEnded(crash(step.replica), now)
				case 'w':
					now = now.Add(10 * time.Second)
				}
			}
			suspect, _ := tracker.Suspect(1, now)
			_, refused := tracker.Refused(1, now)
			if len(suspect.Crashes) != c.want || refused != (c.want >= 3) {
				t.Errorf("%d crashes are held against it, refused %v", len(suspect.Crashes), refused)
			}
		})
	}
}

// storyStep is one step of a story.
type storyStep struct {
	what    byte
	replica int
}

func splitStory(story string) []storyStep {
	var steps []storyStep
	for _, char := range []byte(story) {
		switch {
		case char == ' ':
		case char >= '0' && char <= '9':
			steps[len(steps)-1].replica = int(char - '0')
		default:
			steps = append(steps, storyStep{what: char})
		}
	}
	return steps
}

// site is a number of daemons that tell each other of suspects as greetings do: each sends to another one ten times a
// second and gets its answer, and a tenth of the exchanges is lost.
type site struct {
	trackers []*Tracker
	random   *rand.Rand
	now      time.Time
}

// pass lets a tenth of a second pass.
func (site *site) pass() {
	site.now = site.now.Add(100 * time.Millisecond)
	for _, tracker := range site.trackers {
		other := site.trackers[site.random.IntN(len(site.trackers))]
		if site.random.IntN(10) == 0 {
			continue
		}
		told := tracker.Share(32, site.now)
		tracker.Import(other.Share(32, site.now), site.now)
		other.Import(told, site.now)
	}
}

// TestCrashRequestAmongManyDaemons guards against issue 22: a request that crashes each replica comes again at any daemon,
// beside crashes that mark many other requests. After the third crash and 3 s no daemon may send it on.
func TestCrashRequestAmongManyDaemons(t *testing.T) {
	for _, size := range []int{4, 30, *daemonsFlag} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			site := &site{random: rand.New(rand.NewPCG(uint64(size), 3)), now: time.Unix(1000, 0)}
			for range size {
				site.trackers = append(site.trackers, NewTracker(3))
			}
			var ends int
			var third time.Time
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
				if ends >= 3 && site.now.Sub(third) > 3*time.Second {
					t.Errorf("sent on %v after the third crash", site.now.Sub(third))
				}
				ends++
				if ends == 3 {
					third = site.now
				}
				tracker.ConnectionLost(1, crash(ends), site.now)
			}
			t.Logf("%d crashes", ends)
		})
	}
}

// crashMany lets each daemon see breaks of other requests.
func (site *site) crashMany() {
	for index, tracker := range site.trackers {
		for request := range uint64(5) {
			tracker.ConnectionLost(1000+uint64(index)*5+request, crash(100+int(request)), site.now)
		}
	}
}

// TestDaemonThatStartsLearnsWhatIsRefused covers a daemon that starts long after the crashes.
func TestDaemonThatStartsLearnsWhatIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	old, fresh := NewTracker(3), NewTracker(3)
	for n := range 3 {
		old.ConnectionLost(1, crash(n), now)
	}
	for range 100 {
		old.Share(32, now)
	}
	refusals := fresh.Refusals()
	if learnt := fresh.Import(old.Share(32, now), now); len(learnt) != 1 {
		t.Errorf("the first greeting tells of %d refused requests", len(learnt))
	}
	select {
	case <-refusals:
	default:
		t.Error("requests that wait are not woken")
	}
}

// TestSuspectsAreRecordedOnce covers what a daemon hands on to the record.
func TestSuspectsAreRecordedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	own, other := NewTracker(3), NewTracker(3)
	own.ConnectionLost(1, crash(1), now)
	if len(own.Unrecorded()) != 0 {
		t.Error("one crash is recorded")
	}
	other.ConnectionLost(1, crash(2), now)
	own.Import(other.Share(8, now), now)
	if got := own.Unrecorded(); len(got) != 1 || len(got[0].Crashes) != 2 {
		t.Errorf("to record are %+v", got)
	}
	if len(own.Unrecorded()) != 0 {
		t.Error("a suspect is recorded again without another crash")
	}
	third := NewTracker(3)
	third.Import(own.Share(8, now), now)
	if len(third.Unrecorded()) != 0 {
		t.Error("a daemon that only heard of a suspect records it too")
	}
}

// TestMemoryOfTrackersIsBounded covers replicas that leave many attempts without a word, and books that nobody shares.
func TestMemoryOfTrackersIsBounded(t *testing.T) {
	tracker, now := NewTracker(3), time.Unix(1000, 0)
	for n := range 3 * mostDoubts {
		tracker.NoResponse(uint64(100+n), crash(1), now)
	}
	tracker.NoResponse(1, crash(1), now)
	if counted := tracker.ReplicaEnded(crash(1), now); len(counted) != mostDoubts || counted[mostDoubts-1] != 1 {
		t.Errorf("%d attempts count, the last is not among them", len(counted))
	}
	for n := range 2 * mostDoubtful {
		tracker.NoResponse(1, crash(n), now)
	}
	tracker.NoResponse(1, crash(-1), now.Add(doubtTime))
	if len(tracker.doubts) != 1 {
		t.Errorf("%d replicas are in doubt", len(tracker.doubts))
	}
	for n := range uint64(3 * capacity) {
		tracker.ConnectionLost(1000+n, crash(1), now)
	}
	if turns := &tracker.book.turns; len(turns.fresh) > capacity || len(turns.told) != len(turns.fresh) || len(tracker.breaks) > capacity {
		t.Errorf("%d wait to be told, %d are counted, %d breaks", len(turns.fresh), len(turns.told), len(tracker.breaks))
	}
}
