package frontsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// deadlyDowntime is how long a replica is down after a request with the deadly part.
	deadlyDowntime = time.Second
	// deadlyLimit is the number of ends from which the part must be refused; deadlyGrace after the last of them all
	// daemons must refuse it, and deadlyTolerance requests may still reach replicas.
	deadlyLimit     = 5
	deadlyGrace     = 3 * time.Second
	deadlyTolerance = 3
	// deadlyDuration is how long requests with the part come, and deadlyInterval the pause between two of them.
	deadlyDuration = 14 * time.Second
	deadlyInterval = 300 * time.Millisecond
	// deadlySoakDuration is the same in a run with other faults.
	deadlySoakDuration = 7 * time.Second
	// minSoundServed is the share of sound requests with the same first part that must be served at the first attempt
	// from deadlySettle after the end numbered deadlyLimit, or after the last one if there are fewer.
	minSoundServed = 0.5
	deadlySettle   = 6 * time.Second
)

// firstPart is the first part of the prompts in tests of deadly parts.
const firstPart = "f1"

// deadlyPart is a part of prompts that ends each replica that begins to respond to it.
type deadlyPart struct {
	id string
	// afterEvent states that the replica ends after its first event, and silent that it ends without closing its
	// connections.
	afterEvent, silent bool

	mutex sync.Mutex
	// ends counts the replicas that ended; lateFrom is when the one numbered deadlyLimit did, and lastEnd when the
	// last one did.
	ends              int
	lateFrom, lastEnd time.Time
	// late counts the requests that reached replicas later than deadlyGrace after lateFrom.
	late int
	// soundResults lists the results of sound requests with the same first part, in order.
	soundResults []soundResult
}

// soundResult is the result of one sound request.
type soundResult struct {
	at     time.Time
	served bool
}

// in reports whether the prompt contains the part other than as its last.
func (part *deadlyPart) in(prefix string) bool {
	if part == nil {
		return false
	}
	parts := strings.Split(prefix, ",")
	for _, pair := range parts[:len(parts)-1] {
		if strings.HasPrefix(pair, part.id+":") {
			return true
		}
	}
	return false
}

// arrive records that a request with the part reached a replica. upToDate states that the daemon that sent it must know what
// the others know.
func (part *deadlyPart) arrive(now time.Time, upToDate bool) {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if upToDate && part.ends >= deadlyLimit && now.Sub(part.lateFrom) > deadlyGrace {
		part.late++
	}
	part.ends++
	part.lastEnd = now
	if part.ends == deadlyLimit {
		part.lateFrom = now
	}
}

// recordSound records the result of a sound request.
func (part *deadlyPart) recordSound(at time.Time, served bool) {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	part.soundResults = append(part.soundResults, soundResult{at, served})
}

// soundServed returns the share of the sound requests served from deadlySettle after the ends on, and their number.
func (part *deadlyPart) soundServed() (float64, int) {
	from := part.lateFrom
	if from.IsZero() {
		from = part.lastEnd
	}
	count, served := 0, 0
	for _, result := range part.soundResults {
		if result.at.Sub(from) < deadlySettle {
			continue
		}
		count++
		if result.served {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// check returns the violations.
func (part *deadlyPart) check() []string {
	part.mutex.Lock()
	defer part.mutex.Unlock()
	var violations []string
	if part.late > deadlyTolerance {
		violations = append(violations, fmt.Sprintf("%d requests with the part reached replicas later than %v after the fifth end; %d ended in all", part.late, deadlyGrace, part.ends))
	}
	if share, count := part.soundServed(); count >= 20 && share < minSoundServed {
		violations = append(violations, fmt.Sprintf("%.2f of %d sound requests with the same first part were served at the first attempt", share, count))
	}
	return violations
}

// endIfDeadly ends the replica if the prompt contains the deadly part, and reports whether it did.
func (replica *replica) endIfDeadly(writer http.ResponseWriter, request *http.Request, id string) bool {
	part := replica.checker.deadly.Load()
	if !part.in(request.Header.Get("Bronzestall-Prompt-Prefix")) {
		return false
	}
	part.arrive(time.Now(), replica.checker.isUpToDate(daemonOf(id), time.Now()))
	if part.afterEvent {
		writer.Header().Set("Bronzestall-Response-Signature", "signed."+id)
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", replica.checker.streams.first(id), id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventGap)
	}
	if part.silent {
		replica.crashSilently(deadlyDowntime)
	} else {
		replica.crash(deadlyDowntime)
	}
	return true
}

// isUpToDate is mustBeUpToDate for callers without the mutex.
func (checker *checker) isUpToDate(daemon string, now time.Time) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.mustBeUpToDate(daemon, now)
}

// injectDeadlyPart sends requests with a deadly part for some seconds. It has its own random source, so that the other faults of
// a seed do not depend on it.
func (testbed *testbed) injectDeadlyPart(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 10))
	testbed.checker.deadly.Store(&deadlyPart{id: "dead", afterEvent: random.IntN(2) == 0, silent: random.IntN(3) == 0})
	kind := []string{pathStream, pathResume}[random.IntN(2)]
	place := []string{"first", "second", "third"}[random.IntN(3)]
	time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, deadlySoakDuration)
	defer cancel()
	testbed.sendDeadly(ctx, kind, place)
}

// crashSilently ends the replica without closing its connections, which get no more bytes.
func (replica *replica) crashSilently(downtime time.Duration) {
	end := replica.proxy.begin(proxyFault{stalls: true})
	time.AfterFunc(downtime, func() {
		replica.crash(downtime)
		end()
	})
}

// sendDeadly sends requests with the deadly part at the place, no two alike, until the context ends.
func (testbed *testbed) sendDeadly(ctx context.Context, kind, place string) {
	random := rand.New(rand.NewPCG(1, 2))
	client := newClient("deadly", testbed.checker, 1, testbed.addresses())
	for count := 0; ctx.Err() == nil; count++ {
		address := client.addresses[random.IntN(len(client.addresses))]
		go client.sendPrompt(ctx, kind, address, "", deadlyPrompt(testbed.checker.deadly.Load().id, place, count))
		time.Sleep(deadlyInterval)
	}
}

// deadlyPrompt returns a prompt with the deadly part at the place.
func deadlyPrompt(id, place string, count int) string {
	parts := map[string][]string{"first": {id, "a2", "b3"}, "second": {firstPart, id, "b3"}, "third": {firstPart, "a2", id}}[place]
	return fmt.Sprintf("%s:30,%s:30,%s:30,d%d:10", parts[0], parts[1], parts[2], count)
}

// sendSound sends sound requests that share the other parts, until the context ends.
func (testbed *testbed) sendSound(ctx context.Context, number int) {
	client := newClient(fmt.Sprint("sound", number), testbed.checker, uint64(number), testbed.addresses())
	for count := 0; ctx.Err() == nil; count++ {
		address := client.addresses[client.random.IntN(len(client.addresses))]
		at := time.Now()
		served := client.sendPrompt(ctx, pathStream, address, "", fmt.Sprintf("%s:30,a2:30,b3:30,s%d-%d:10", firstPart, number, count))
		if ctx.Err() == nil {
			testbed.checker.deadly.Load().recordSound(at, served)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestDeadlyPartIsRefusedByAllDaemons guards against issue 37: requests that have nothing in common but one part of
// their prompts ended one replica after the other, since daemons counted ends against whole requests only.
func TestDeadlyPartIsRefusedByAllDaemons(t *testing.T) {
	cases := []struct {
		name, kind, place  string
		afterEvent, silent bool
		// killAt is the time from the first request to the kill of all daemons; zero kills none.
		killAt time.Duration
	}{
		{"first part", pathStream, "first", false, false, 0},
		{"second part of a resumable stream", pathResume, "second", false, false, 0},
		{"third part after the first event", pathStream, "third", true, false, 0},
		{"second part of replicas that fall silent", pathStream, "second", false, true, 0},
		{"third part while daemons restart", pathStream, "third", false, false, 7 * time.Second},
	}
	binary := build(t)
	for index, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testbed, stop := newServingTestbed(t, binary, 5100+uint64(index), 2*time.Second)
			defer stop()
			deadly := &deadlyPart{id: "dead", afterEvent: c.afterEvent, silent: c.silent}
			testbed.checker.deadly.Store(deadly)
			ctx, cancel := context.WithTimeout(context.Background(), deadlyDuration)
			defer cancel()
			if c.killAt > 0 {
				time.AfterFunc(c.killAt, func() { testbed.signalAll(syscall.SIGKILL) })
			}
			var clients sync.WaitGroup
			for number := range clientCount {
				clients.Go(func() { testbed.sendSound(ctx, number) })
			}
			testbed.sendDeadly(ctx, c.kind, c.place)
			clients.Wait()
			share, count := deadly.soundServed()
			t.Logf("outcomes %v, %d ends, %d late, %.2f of %d sound requests served", testbed.checker.outcomes, deadly.ends, deadly.late, share, count)
			for _, violation := range append(testbed.checker.finish(), deadly.check()...) {
				t.Error(violation)
			}
		})
	}
}
