package frontsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// floodPrefix begins the identifiers of requests to which replicas respond without end, floodInterval is the time between two of them
	// at one daemon, and floodDuration how long they come.
	floodPrefix   = "flood-"
	floodInterval = 25 * time.Millisecond
	floodDuration = 6 * time.Second
	// floodChunk bytes are sent each floodPause: 2 MB/s, just below the largest response within the deadline.
	floodChunk = 100 << 10
	floodPause = 50 * time.Millisecond
	// soundInterval is the time between two sound requests beside them, and minServedBesideFlood the share of these that must be served.
	soundInterval        = 50 * time.Millisecond
	minServedBesideFlood = 0.99
	// maxPeakShare is the share of the memory limit that a daemon may take at its peak, and daemonMemory that limit in bytes.
	maxPeakShare = 0.6
	daemonMemory = 256 << 20
)

// flood responds without end if the request asks for it, and reports whether it did.
func (replica *replica) flood(writer http.ResponseWriter, request *http.Request, id string) bool {
	if !strings.HasPrefix(id, floodPrefix) {
		return false
	}
	writer.WriteHeader(http.StatusInternalServerError)
	chunk := bytes.Repeat([]byte("x"), floodChunk)
	for request.Context().Err() == nil {
		if _, err := writer.Write(chunk); err != nil {
			break
		}
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(floodPause)
	}
	return true
}

// TestSlowBodiesWithoutEndTakeNoDaemon guards against the report of other operators in issue 55: a daemon held bytes that were no
// response, each within the bound of one, for so many requests that its VM ran out of memory.
func TestSlowBodiesWithoutEndTakeNoDaemon(t *testing.T) {
	binary := build(t)
	testbed, stop := newServingTestbed(t, binary, 6000, 4*time.Second)
	target := testbed.fronts[0]
	ctx, cancel := context.WithTimeout(t.Context(), floodDuration)
	defer cancel()
	var requests sync.WaitGroup
	requests.Go(func() { target.sendFlood(ctx, &requests) })
	var sound, served atomic.Int64
	client := newClient("sound", testbed.checker, 6000, testbed.addresses())
	for ctx.Err() == nil {
		requests.Go(func() {
			sound.Add(1)
			if client.send(context.Background(), pathLookup, target.client) {
				served.Add(1)
			}
		})
		time.Sleep(soundInterval)
	}
	requests.Wait()
	peak := target.peakMemory(t)
	stop()
	t.Logf("peak of %d MB, %d of %d sound requests served", peak>>20, served.Load(), sound.Load())
	if float64(peak) > maxPeakShare*daemonMemory {
		t.Errorf("the daemon took %d MB at its peak, at most %.0f wanted", peak>>20, maxPeakShare*daemonMemory/(1<<20))
	}
	if share := float64(served.Load()) / float64(sound.Load()); share < minServedBesideFlood {
		t.Errorf("%.3f of %d sound requests served, at least %.2f wanted", share, sound.Load(), minServedBesideFlood)
	}
	if len(target.started) != 1 {
		t.Errorf("the daemon was started %d times", len(target.started))
	}
}

// sendFlood sends requests to which replicas respond without end until the context ends.
func (process *process) sendFlood(ctx context.Context, requests *sync.WaitGroup) {
	for number := 0; ctx.Err() == nil; number++ {
		requests.Go(func() {
			limited, cancel := context.WithTimeout(context.Background(), clientDeadline)
			defer cancel()
			request, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+process.client+pathCall+"x", strings.NewReader("flood"))
			if err != nil {
				return
			}
			request.Host = "h.example"
			request.Header.Set("Bronzestall-Request-Id", fmt.Sprint(floodPrefix, number))
			request.Header.Set("Bronzestall-Deadline-Ms", "4000")
			if response, err := http.DefaultClient.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
		time.Sleep(floodInterval)
	}
}

// peakMemory returns the largest resident memory of the daemon so far, in bytes.
func (process *process) peakMemory(t *testing.T) int64 {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}
