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
	// leavingHeader marks responses of a leaving replica, and replicaHeader names the incarnation that responded.
	leavingHeader = "Server-Leaving"
	replicaHeader = "X-Replica"
	// leavingBound is the time after which a replica must get no more requests from a daemon that forwarded a response in
	// which the replica reported that it is leaving.
	leavingBound = 2 * time.Second
	// backoffGrace is the time after which a daemon must follow the backoff of a replica, and backoffTolerance the number
	// of its requests that may still reach the replica then.
	backoffGrace     = 500 * time.Millisecond
	backoffTolerance = 2
	// backoffResolution is the difference above which two ends of a backoff count as different.
	backoffResolution = 50 * time.Millisecond
	// recoveryGrace is how long after a start, a resumption or a fault of its connections a daemon may lack shared state.
	recoveryGrace = 3 * time.Second
)

// link names an incarnation of a replica and a daemon that sends to it.
type link struct{ replica, daemon string }

// backoff is a period in which a replica asked a daemon for no requests, and the requests that arrived in it.
type backoff struct {
	from, until time.Time
	arrivals    int
}

// notices holds what replicas reported about themselves, and the times of events after which a daemon may ignore it.
// Its fields are guarded by the mutex of the checker.
type notices struct {
	// forwardedLeaving maps links to when a client first got a response through the daemon in which the replica reports
	// that it is leaving.
	forwardedLeaving map[link]time.Time
	// backoffs maps links to the last backoff that the replica asked the daemon for.
	backoffs map[link]backoff
	// started maps daemons to their last start, and lastFault maps replicas to the last fault of their connections.
	started, lastFault map[string]time.Time
}

func newNotices() notices {
	return notices{forwardedLeaving: map[link]time.Time{}, backoffs: map[link]backoff{}, started: map[string]time.Time{}, lastFault: map[string]time.Time{}}
}

// daemonOf returns the daemon to which the request with the identifier was sent.
func daemonOf(id string) string {
	_, daemon, _ := strings.Cut(id, "@")
	return daemon
}

// recordStart records that a daemon starts.
func (checker *checker) recordStart(daemon string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.notices.started[daemon] = time.Now()
}

// recordReplicaFault records a fault of the connections to a replica.
func (checker *checker) recordReplicaFault(replica string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.notices.lastFault[replica] = time.Now()
}

// recordForwardedLeaving records that a client got a response in which the replica reports that it is leaving.
func (checker *checker) recordForwardedLeaving(replica, daemon string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	key := link{replica, daemon}
	if _, known := checker.notices.forwardedLeaving[key]; !known {
		checker.notices.forwardedLeaving[key] = time.Now()
	}
}

// recordBackoff records that a replica asks a daemon for no requests for the duration.
func (checker *checker) recordBackoff(replica, daemon string, duration time.Duration) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	now := time.Now()
	key := link{replica, daemon}
	if until := now.Add(duration); until.Sub(checker.notices.backoffs[key].until) > backoffResolution {
		checker.notices.backoffs[key] = backoff{from: now.Add(backoffGrace), until: until}
	}
}

// restartedSince reports whether the daemon started or was resumed after the time. The mutex is held.
func (checker *checker) restartedSince(daemon string, since time.Time) bool {
	return checker.notices.started[daemon].After(since) || checker.lastResumes[daemon].After(since)
}

// recordArrival records that a request reached an incarnation of the replica, and checks that its daemon followed the
// notices of the replica.
func (checker *checker) recordArrival(id, name, replica string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	now := time.Now()
	daemon := daemonOf(id)
	key := link{replica, daemon}
	if reportedAt, leaving := checker.notices.forwardedLeaving[key]; leaving && now.Sub(reportedAt) > leavingBound && !checker.restartedSince(daemon, reportedAt) {
		checker.recordViolationLocked("%s reached %s from %s %v after the replica had reported that it is leaving", id, replica, daemon, now.Sub(reportedAt))
	}
	checker.recordLimitedArrival(name, replica, daemon, now)
	period, known := checker.notices.backoffs[key]
	if !known || now.Before(period.from) || now.After(period.until) {
		return
	}
	reportedAt := period.from.Add(-backoffGrace)
	if checker.restartedSince(daemon, reportedAt) || now.Sub(checker.notices.lastFault[name]) < recoveryGrace || reportedAt.Sub(checker.notices.lastFault[name]) < recoveryGrace {
		return
	}
	period.arrivals++
	checker.notices.backoffs[key] = period
	if period.arrivals == backoffTolerance+1 {
		checker.recordViolationLocked("%d requests reached %s from %s during its backoff, the last %v before the end of the backoff", period.arrivals, replica, daemon, period.until.Sub(now))
	}
}

// mustBeUpToDate reports whether the store and the daemon have been without a fault for long enough that the daemon holds
// the state that all daemons share. The mutex is held.
func (checker *checker) mustBeUpToDate(daemon string, now time.Time) bool {
	storeStable := !checker.storeStable.IsZero() && now.Sub(checker.storeStable) > recoveryGrace
	return storeStable && !checker.restartedSince(daemon, now.Add(-recoveryGrace))
}

// incarnationName returns a name of the replica's current incarnation.
func (replica *replica) incarnationName() string {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return fmt.Sprint(replica.id, "/", replica.startedAt)
}

// writeNotice adds what the replica reports about itself to a response. During a backoff it refuses the request and
// returns true.
func (replica *replica) writeNotice(writer http.ResponseWriter, id string) bool {
	incarnation := replica.incarnationName()
	replica.mutex.Lock()
	leaving, remaining := (replica.draining && !replica.drainsSilently) || replica.announcesLeaving, time.Until(replica.backoffUntil)
	replica.mutex.Unlock()
	writer.Header().Set(replicaHeader, incarnation)
	replica.writeLimit(writer)
	if leaving {
		writer.Header().Set(leavingHeader, "1")
	}
	if remaining <= 0 {
		return false
	}
	replica.checker.recordBackoff(incarnation, daemonOf(id), remaining)
	writer.Header().Set("Bronzestall-Not-Executed", "1")
	writer.Header().Set("Retry-After", fmt.Sprintf("%.3f", remaining.Seconds()))
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// announceLeaving makes the replica report in its responses, but not in its row, that it is leaving; 4 s later it
// crashes and starts as a new incarnation. It does nothing if the replica does so already.
func (replica *replica) announceLeaving() {
	already := false
	replica.withLock(func() { already, replica.announcesLeaving = replica.announcesLeaving, true })
	if already {
		return
	}
	time.AfterFunc(4*time.Second, func() {
		replica.withLock(func() { replica.announcesLeaving = false })
		replica.crash(300 * time.Millisecond)
	})
}

// injectNotices makes random replicas back off or leave until the context ends, and repeats a crash request from a
// random time on. It has its own random source, so that the other faults of a seed do not depend on it.
func (testbed *testbed) injectNotices(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 8))
	crash := random.IntN(4)
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		replica := testbed.replicas[random.IntN(len(testbed.replicas))]
		duration := time.Duration(500+random.IntN(2500)) * time.Millisecond
		if random.IntN(4) == 0 {
			replica.announceLeaving()
		} else {
			replica.withLock(func() { replica.backoffUntil = time.Now().Add(duration) })
		}
		if count == crash {
			kind := []string{pathCall, pathStream, pathResume}[random.IntN(3)]
			go testbed.repeatCrashRequest(ctx, kind, "soak")
		}
	}
}
