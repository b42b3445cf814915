package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// minProbes is the least number of probes that begin at once, if as many are due; of more, one in probeShare begins.
	minProbes  = 2
	probeShare = 8
	// minProbeDelay is the least time between two probes of one replica. It doubles with each that yields nothing, up to
	// maxProbeDelay.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// questionInterval is the time between two questions to other daemons about one replica.
	questionInterval = 250 * time.Millisecond
	// maxQuestions bounds the replicas that other daemons are asked about at once.
	maxQuestions = 16
)

const (
	// probeTimeout is the time after which a probe ends without an answer. That of a path that is lost ends sooner, so that the next
	// one finds soon that the path is back.
	probeTimeout     = 2 * time.Second
	lostProbeTimeout = 750 * time.Millisecond
)

// Probe is a probe that must be sent to a replica now. ProbeEnded must be called at its end.
type Probe struct {
	Key string
	// Timeout is the time after which it ends without an answer.
	Timeout time.Duration
}

// Work is what a daemon must do to learn more of its paths.
type Work struct {
	// Probes lists the probes that must be sent now.
	Probes []Probe
	// Questions lists the replicas of which other daemons must be asked when they had an answer.
	Questions []string
	// Lost lists the replicas that were found lost since the last step.
	Lost []string
	// Change is how the time that passed changed what the daemon concludes about itself.
	Change Change
}

// Step observes how long replicas have been silent, and returns what must be done now. There is no work while nothing is doubted.
func (paths *Paths) Step(now time.Time) (work Work) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	var due []string
	for _, key := range paths.keys() {
		known := paths.replicas[key]
		if len(known.awaited) > 0 || !known.probeBegun.IsZero() {
			paths.observe(key, now)
		}
		if paths.mayProbe(known, now) {
			due = append(due, key)
		}
		if known.isQuestionDue(now) && len(work.Questions) < maxQuestions {
			known.nextQuestion = now.Add(questionInterval)
			work.Questions = append(work.Questions, key)
		}
	}
	slices.SortStableFunc(due, func(a, b string) int { return paths.replicas[a].nextProbe.Compare(paths.replicas[b].nextProbe) })
	paths.observeSuspicion()
	work.Change = paths.conclude(now)
	work.Lost, paths.found = paths.found, nil
	for _, key := range due[:min(len(due), max(minProbes, len(due)/probeShare))] {
		work.Probes = append(work.Probes, Probe{key, paths.replicas[key].beginProbe(now)})
	}
	return work
}

// keys returns the keys of the paths, in order.
func (paths *Paths) keys() []string {
	if paths.sorted == nil {
		paths.sorted = slices.Sorted(maps.Keys(paths.replicas))
	}
	return paths.sorted
}

// mayProbe reports whether the replica is due to be probed: its path is doubted, or all are.
func (paths *Paths) mayProbe(known *path, now time.Time) bool {
	return (paths.cutOff || paths.allSuspected || known.isDoubted()) && known.probeBegun.IsZero() && !now.Before(known.nextProbe)
}

// isQuestionDue reports whether others must be asked about the replica: it is suspected, and has not answered a probe in time.
func (path *path) isQuestionDue(now time.Time) bool {
	return !path.suspected.IsZero() && path.lost.IsZero() && !path.probeBegun.IsZero() &&
		now.Sub(path.probeBegun) >= answerTime && !now.Before(path.nextQuestion)
}

// beginProbe records that a probe begins, and returns the time after which it ends without an answer.
func (path *path) beginProbe(now time.Time) time.Duration {
	path.probeBegun = now
	path.probeTimeout = probeTimeout
	if !path.lost.IsZero() {
		path.probeTimeout = lostProbeTimeout
	}
	path.nextProbe = now.Add(minProbeDelay)
	return path.probeTimeout
}

// BeginProbe returns a probe of the replica for another daemon, and whether it may be sent: not while one is under way, or right
// after one.
func (paths *Paths) BeginProbe(key string, now time.Time) (Probe, bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.get(key)
	if !known.probeBegun.IsZero() || now.Before(known.nextProbe) {
		return Probe{}, false
	}
	return Probe{key, known.beginProbe(now)}, true
}

// ProbeEnded records the end of a probe that began last. If nothing came, it counts as Silent, unless a failure of another kind was
// recorded since it began.
func (paths *Paths) ProbeEnded(key string, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.replicas[key]
	if !ok || known.probeBegun.IsZero() {
		return Unchanged
	}
	begun := known.probeBegun
	paths.observe(key, now)
	known.probeBegun = time.Time{}
	if !known.proved.Before(begun) {
		return Unchanged
	}
	known.probeDelay = min(max(2*known.probeDelay, minProbeDelay), maxProbeDelay)
	known.nextProbe = now.Add(known.probeDelay)
	if now.Sub(begun) < known.probeTimeout {
		return paths.conclude(now)
	}
	return paths.fail(key, Silent, begun, now)
}

// SkipProbe records that a probe that began was not sent.
func (paths *Paths) SkipProbe(key string) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if known, ok := paths.replicas[key]; ok {
		known.probeBegun = time.Time{}
	}
}

// Include adds replicas of which nothing is known, so that a daemon that is cut off probes them too.
func (paths *Paths) Include(keys []string) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	for _, key := range keys {
		paths.get(key)
	}
}

// probeSoon lets all replicas whose paths are doubted be probed without delay, since one is reached again.
func (paths *Paths) probeSoon(now time.Time) {
	for _, known := range paths.replicas {
		if known.isDoubted() {
			known.probeDelay = 0
			known.nextProbe = now
		}
	}
}
