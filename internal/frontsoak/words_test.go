package frontsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// leavingHeader and replicaHeader stand in answers of replicas: that the replica leaves, and its run.
	leavingHeader = "Server-Leaving"
	replicaHeader = "X-Replica"
	// leavingBound is the time after which a replica must get nothing more from a daemon that passed on an answer in which
	// it said that it leaves.
	leavingBound = 2 * time.Second
	// restNotice is the time after which the rest of a replica binds a daemon, and restSpare the number of requests that
	// may still reach it from there.
	restNotice = 500 * time.Millisecond
	restSpare  = 2
	// restStep is the difference from which two ends of a rest are not the same.
	restStep = 50 * time.Millisecond
	// excuse is how long after a start, a thaw or a fault on its ways a daemon is not held to what it should know.
	excuse = 3 * time.Second
)

// pair is a run of a replica and a daemon.
type pair struct{ replica, daemon string }

// rest is what a replica told a daemon of the time for which it wants nothing.
type rest struct {
	from, until time.Time
	arrivals    int
}

// words is what replicas said of themselves, as the judge knows it. Its fields are guarded by the mutex of the judge.
type words struct {
	// passedOn maps pairs to when a client first got an answer through the daemon in which the replica says that it leaves.
	passedOn map[pair]time.Time
	// rests maps pairs to the last rest that the replica told the daemon.
	rests map[pair]rest
	// started maps daemons to their last start, and cut replicas to the last fault on the way to them.
	started, cut map[string]time.Time
}

func newWords() words {
	return words{passedOn: map[pair]time.Time{}, rests: map[pair]rest{}, started: map[string]time.Time{}, cut: map[string]time.Time{}}
}

// daemonOf returns the daemon that the identifier of a request names.
func daemonOf(id string) string {
	_, daemon, _ := strings.Cut(id, "@")
	return daemon
}

// start notes that a daemon starts.
func (judge *judge) start(daemon string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.words.started[daemon] = time.Now()
}

// disturbReplica notes a fault on the way to a replica.
func (judge *judge) disturbReplica(replica string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.words.cut[replica] = time.Now()
}

// passOn notes that a client got an answer in which the replica says that it leaves.
func (judge *judge) passOn(replica, daemon string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	key := pair{replica, daemon}
	if _, known := judge.words.passedOn[key]; !known {
		judge.words.passedOn[key] = time.Now()
	}
}

// tellRest notes that a replica told a daemon for how long it wants nothing.
func (judge *judge) tellRest(replica, daemon string, length time.Duration) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	now := time.Now()
	key := pair{replica, daemon}
	if until := now.Add(length); until.Sub(judge.words.rests[key].until) > restStep {
		judge.words.rests[key] = rest{from: now.Add(restNotice), until: until}
	}
}

// excused reports whether the daemon started or was thawed after the time. The mutex is held.
func (judge *judge) excused(daemon string, since time.Time) bool {
	return judge.words.started[daemon].After(since) || judge.woken[daemon].After(since)
}

// reached notes that a request of the daemon reached the run of the replica.
func (judge *judge) reached(id, name, replica string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	now := time.Now()
	daemon := daemonOf(id)
	key := pair{replica, daemon}
	if said, leaves := judge.words.passedOn[key]; leaves && now.Sub(said) > leavingBound && !judge.excused(daemon, said) {
		judge.note("%s reached %s from %s %v after it had said that it leaves", id, replica, daemon, now.Sub(said))
	}
	told, known := judge.words.rests[key]
	if !known || now.Before(told.from) || now.After(told.until) {
		return
	}
	said := told.from.Add(-restNotice)
	if judge.excused(daemon, said) || now.Sub(judge.words.cut[name]) < excuse || said.Sub(judge.words.cut[name]) < excuse {
		return
	}
	told.arrivals++
	judge.words.rests[key] = told
	if told.arrivals == restSpare+1 {
		judge.note("%d requests reached %s from %s that wants none, the last %v before its end", told.arrivals, replica, daemon, told.until.Sub(now))
	}
}

// inTouch reports whether the daemon is held to what all must know. The mutex is held.
func (judge *judge) inTouch(daemon string, now time.Time) bool {
	calm := !judge.calm.IsZero() && now.Sub(judge.calm) > excuse
	return calm && !judge.excused(daemon, now.Add(-excuse))
}

// run names the run of the replica.
func (replica *replica) runName() string {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return fmt.Sprint(replica.id, "/", replica.born)
}

// speak adds what the replica says of itself to its answer, and reports whether it turns the request away.
func (replica *replica) speak(writer http.ResponseWriter, id string) bool {
	run := replica.runName()
	replica.mutex.Lock()
	leaves, left := replica.draining || replica.parting, time.Until(replica.restUntil)
	replica.mutex.Unlock()
	writer.Header().Set(replicaHeader, run)
	if leaves {
		writer.Header().Set(leavingHeader, "1")
	}
	if left <= 0 {
		return false
	}
	replica.judge.tellRest(run, daemonOf(id), left)
	writer.Header().Set("Bronzestall-Not-Executed", "1")
	writer.Header().Set("Retry-After", fmt.Sprintf("%.3f", left.Seconds()))
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// part lets the replica say in its answers only that it leaves; it comes back as another run after a while.
func (replica *replica) part() {
	replica.with(func() { replica.parting = true })
	time.AfterFunc(4*time.Second, func() {
		replica.with(func() { replica.parting = false })
		replica.crash(300 * time.Millisecond)
	})
}

// speakUp lets replicas rest for a while at random until the context ends, and repeats one crash request from a random
// moment on. It draws from a source of its own, so that the other faults of a seed stay as they are.
func (world *world) speakUp(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 8))
	crash := random.IntN(4)
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		replica := world.replicas[random.IntN(len(world.replicas))]
		length := time.Duration(500+random.IntN(2500)) * time.Millisecond
		if random.IntN(4) == 0 {
			replica.part()
		} else {
			replica.with(func() { replica.restUntil = time.Now().Add(length) })
		}
		if count == crash {
			kind := []string{pathCall, pathStream, pathResume}[random.IntN(3)]
			go world.repeatCrash(ctx, kind, "soak")
		}
	}
}
