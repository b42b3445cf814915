package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// blameSite is a few daemons that tell each other all suspects after each step of a history.
type blameSite struct {
	trackers []*Tracker
	now      time.Time
	// sent counts the requests with the guilty part that were sent, and crashes all crashes.
	sent, crashes int
	unique        uint64
}

// The parts of a history. Only guiltyPart crashes replicas.
const (
	guiltyPart   = uint64(1)
	companyPart  = uint64(2)
	popularPart  = uint64(3)
	fuzzDaemons  = 3
	fuzzReplicas = 4
)

// sendGuilty sends a request with the guilty part, unless it is refused, and crashes its replica beside a sound request with the
// other parts.
func (site *blameSite) sendGuilty(daemon int, company []uint64) {
	site.unique += 2
	tracker := site.trackers[daemon]
	causes := Causes{site.unique, append([]uint64{guiltyPart}, company...)}
	admission := tracker.Admit(causes, 0, site.now)
	if admission.Refused {
		return
	}
	site.sent++
	site.crashes++
	ended := Crash{Upstream: fmt.Sprint(site.crashes % fuzzReplicas), BootID: fmt.Sprint(site.crashes)}
	tracker.ConnectionLost(causes, ended, site.now)
	tracker.EndTrial(admission.Trial, site.now)
	site.trackers[(daemon+1)%fuzzDaemons].ConnectionLost(Causes{site.unique + 1, company}, ended, site.now)
}

// answerSound sends a sound request, unless it is refused, and responds to it. It reports whether it was sent.
func (site *blameSite) answerSound(daemon int, parts []uint64) bool {
	site.unique++
	tracker := site.trackers[daemon]
	causes := Causes{site.unique, parts}
	admission := tracker.Admit(causes, 0, site.now)
	if admission.Refused {
		return false
	}
	tracker.Answered(causes, admission.Trial, site.now)
	tracker.EndTrial(admission.Trial, site.now)
	return true
}

// exchange tells each daemon what the others know.
func (site *blameSite) exchange() {
	for range 2 {
		for _, tracker := range site.trackers {
			for _, other := range site.trackers {
				tracker.Import(other.Share(64, site.now), site.now)
			}
		}
	}
}

// FuzzBlame runs histories of requests of which those with one part crash their replicas. Whatever the history, that part is
// refused after three crashes, and sent on in trials only; and sound requests are served again some seconds after the last crash.
func FuzzBlame(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{0, 0, 0, 0, 0, 0})
	f.Add([]byte{1, 5, 1, 5, 1, 5, 2, 2, 2, 9, 9, 9, 0, 0})
	f.Fuzz(func(t *testing.T, history []byte) {
		// maxSent is three crashes and the trials until the part expires.
		const maxSteps, maxSent = 120, 3 + 4
		site := &blameSite{now: time.Unix(1000, 0), unique: 1000}
		for index := range fuzzDaemons {
			tracker := NewTracker(3)
			tracker.SetTurns(func(part uint64) int { return (index + fuzzDaemons - int(part%fuzzDaemons)) % fuzzDaemons })
			site.trackers = append(site.trackers, tracker)
		}
		for _, step := range history[:min(len(history), maxSteps)] {
			site.now = site.now.Add(400 * time.Millisecond)
			daemon := int(step/16) % fuzzDaemons
			switch step % 6 {
			case 0:
				site.sendGuilty(daemon, []uint64{popularPart})
			case 1:
				site.sendGuilty(daemon, []uint64{popularPart, companyPart})
			case 2:
				site.answerSound(daemon, []uint64{popularPart})
			case 3:
				site.answerSound(daemon, []uint64{popularPart, companyPart})
			case 4:
				site.answerSound(daemon, []uint64{uint64(step) + 400})
			case 5:
				site.now = site.now.Add(2 * time.Second)
			}
			site.exchange()
			if site.sent > maxSent {
				t.Fatalf("%d requests with the guilty part were sent", site.sent)
			}
		}
		for _, parts := range [][]uint64{{popularPart}, {popularPart, companyPart}} {
			served := false
			for range 60 {
				site.now = site.now.Add(time.Second)
				for daemon := range fuzzDaemons {
					served = site.answerSound(daemon, parts) || served
				}
				site.exchange()
			}
			if !served {
				t.Errorf("no request with the parts %v is served in a minute", parts)
			}
		}
	})
}
