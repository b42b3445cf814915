package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partSite simulates daemons with engines: requests with a deadly part, and sound ones that share their other parts.
type partSite struct {
	site
	engines []simulatedEngine
	// ends lists when engines ended.
	ends []time.Time
	// late counts the requests with the deadly part that were sent later than the grace after the fifth end.
	late int
	// sound and soundRefused count the sound requests, and those refused.
	sound, soundRefused int
	unique              uint64
	grace               time.Duration
	// ignoreAnswers states that full responses are no evidence.
	ignoreAnswers bool
}

// simulatedEngine holds the requests in flight at an engine, until it ends.
type simulatedEngine struct {
	boot     int
	downTill time.Time
	inFlight []flight
}

// flight is a sound request in flight.
type flight struct {
	daemon int
	causes Causes
	ends   time.Time
}

const (
	deadly     = uint64(66)
	companion  = uint64(55)
	systemPart = uint64(11)
)

// send sends a sound request through a random daemon to a random engine.
func (site *partSite) send(parts []uint64) {
	site.unique++
	daemon := site.random.IntN(len(site.trackers))
	causes := Causes{site.unique, parts}
	site.sound++
	admission := site.trackers[daemon].Admit(causes, 0, site.now)
	if admission.Refused {
		site.soundRefused++
		return
	}
	engine := &site.engines[site.random.IntN(len(site.engines))]
	if site.now.Before(engine.downTill) {
		site.trackers[daemon].EndTrial(admission.Trial, site.now)
		return
	}
	engine.inFlight = append(engine.inFlight, flight{daemon, causes, site.now.Add(1500 * time.Millisecond)})
}

// sendDeadly sends a request with the deadly part, which ends its engine.
func (site *partSite) sendDeadly() {
	site.unique++
	daemon := site.random.IntN(len(site.trackers))
	causes := Causes{site.unique, []uint64{systemPart, companion, deadly}}
	admission := site.trackers[daemon].Admit(causes, 0, site.now)
	if admission.Refused {
		return
	}
	index := site.random.IntN(len(site.engines))
	engine := &site.engines[index]
	if site.now.Before(engine.downTill) {
		site.trackers[daemon].EndTrial(admission.Trial, site.now)
		return
	}
	if len(site.ends) >= 5 && site.now.Sub(site.ends[4]) > site.grace {
		site.late++
	}
	site.ends = append(site.ends, site.now)
	ended := Crash{Upstream: fmt.Sprint("e", index), BootID: fmt.Sprint(engine.boot)}
	site.trackers[daemon].ConnectionLost(causes, ended, site.now)
	site.trackers[daemon].EndTrial(admission.Trial, site.now)
	for _, flight := range engine.inFlight {
		site.trackers[flight.daemon].ConnectionLost(flight.causes, ended, site.now)
	}
	*engine = simulatedEngine{boot: engine.boot + 1, downTill: site.now.Add(3 * time.Second)}
}

// finishRequests responds to the requests that have ended.
func (site *partSite) finishRequests() {
	for index := range site.engines {
		engine := &site.engines[index]
		kept := engine.inFlight[:0]
		for _, flight := range engine.inFlight {
			if site.now.Before(flight.ends) {
				kept = append(kept, flight)
				continue
			}
			if !site.ignoreAnswers {
				site.trackers[flight.daemon].Answered(flight.causes, 0, site.now)
			}
		}
		engine.inFlight = kept
	}
}

// partCase is the size of one simulation.
type partCase struct {
	daemons, engines int
	grace            time.Duration
	// deadlyPerSecond and soundPerSecond are the requests of either kind.
	deadlyPerSecond, soundPerSecond int
}

// run simulates 30 s, of which the last 25 have requests with the deadly part.
func (c partCase) run(ignoreAnswers bool) *partSite {
	site := &partSite{grace: c.grace, engines: make([]simulatedEngine, c.engines), ignoreAnswers: ignoreAnswers}
	site.random, site.now = rand.New(rand.NewPCG(uint64(c.daemons), 5)), time.Unix(1000, 0)
	for index := range c.daemons {
		tracker := NewTracker(3)
		tracker.SetTurns(func(part uint64) int { return (index + c.daemons - int(part)%c.daemons) % c.daemons })
		site.trackers = append(site.trackers, tracker)
	}
	for step := range 300 {
		site.pass()
		site.finishRequests()
		for number := range c.soundPerSecond / 10 {
			middle := 1000 + uint64(site.random.IntN(200))
			if number == 0 && step%4 == 0 {
				middle = companion
			}
			site.send([]uint64{systemPart, middle})
		}
		if step >= 50 && site.random.IntN(10) < c.deadlyPerSecond%10 {
			site.sendDeadly()
		}
		for range c.deadlyPerSecond / 10 * min(step/50, 1) {
			site.sendDeadly()
		}
	}
	return site
}

// served returns the share of the sound requests that were not refused.
func (site *partSite) served() float64 {
	return 1 - float64(site.soundRefused)/float64(site.sound)
}

// partCases returns the sizes that are simulated.
func partCases() []partCase {
	return []partCase{
		{4, 18, 3 * time.Second, 2, 30},
		{30, 60, 4 * time.Second, 5, 90},
		{*daemonsFlag, 160, 5 * time.Second, 13, 250},
	}
}

// TestDeadlyPartAmongManyDaemons guards against issue 37 at sizes that processes cannot reach: requests with a part that
// ends each engine come through any daemon. After the fifth end no more than three of them may be sent later than the grace,
// and sound requests with the same other parts are served.
func TestDeadlyPartAmongManyDaemons(t *testing.T) {
	const minServed = 0.95
	for _, c := range partCases() {
		t.Run(fmt.Sprint(c.daemons, " daemons"), func(t *testing.T) {
			site := c.run(false)
			t.Logf("%d engines ended, %d requests sent late, %.4f of %d sound requests served", len(site.ends), site.late, site.served(), site.sound)
			if site.late > 3 {
				t.Errorf("%d requests with the deadly part were sent later than %v after the fifth end", site.late, site.grace)
			}
			if site.served() < minServed {
				t.Errorf("%d of %d sound requests were refused", site.soundRefused, site.sound)
			}
		})
	}
}

// TestAnswersTellPartsApart compares the way of this package with plain counting, which takes no response for evidence, on the same
// histories: without them the parts that all requests share are refused with the deadly one.
func TestAnswersTellPartsApart(t *testing.T) {
	for _, c := range partCases() {
		ours, plain := c.run(false), c.run(true)
		t.Logf("%d daemons: %d and %d engines ended, %.4f and %.4f of the sound requests served", c.daemons, len(ours.ends), len(plain.ends), ours.served(), plain.served())
		if ours.served() <= plain.served() {
			t.Errorf("%d daemons: %.4f of the sound requests are served, %.4f by plain counting", c.daemons, ours.served(), plain.served())
		}
	}
}
