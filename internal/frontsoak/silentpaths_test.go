package frontsoak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestSilentReplicasCostNoRequest guards against daemons that take the silence of sound replicas for a cut of their paths: no request may
// fail, none may be passed on to another daemon, and no daemon may count as cut off. While all are silent, no attempt may be ended for
// a replica that has not responded.
func TestSilentReplicasCostNoRequest(t *testing.T) {
	binary := build(t)
	for index, c := range []struct {
		name   string
		length time.Duration
		// together states that all replicas are silent at once; otherwise one is after the other.
		together bool
		// configures states that two configurations come each second.
		configures bool
	}{
		{"one by one for 1.2 s", 1200 * time.Millisecond, false, false},
		{"together for 1.2 s", 1200 * time.Millisecond, true, false},
		{"together for 2 s, with configurations", 2 * time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 5330 + uint64(index)
			testbed, stop := newServingTestbed(t, binary, seed, 3*time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			result, clients := testbed.startFirstTries(ctx, seed)
			if c.configures {
				clients.Go(func() {
					for ctx.Err() == nil {
						testbed.configure()
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
			testbed.silence(c.length, c.together)
			cancel()
			clients.Wait()
			stop()
			share, count := result.share([]int{0, 1, 2, 3})
			t.Logf("%.4f of %d first tries served", share, count)
			if share < 1 || count < 200 {
				t.Errorf("the silence of replicas cost requests")
			}
			for _, line := range linesWith(t, testbed.folder, `"PathsLost"`, `"RequestLent"`, `"PathCut"`) {
				t.Error(line)
			}
			for _, line := range unresponded(t, testbed.folder) {
				if c.together {
					t.Error(line)
				}
			}
			for _, violation := range testbed.checker.finish() {
				t.Error(violation)
			}
		})
	}
}

// startFirstTries starts clients of each daemon that send requests of all kinds until the context ends. It returns what becomes of
// the requests, and what waits for the clients.
func (testbed *testbed) startFirstTries(ctx context.Context, seed uint64) (*cutResult, *sync.WaitGroup) {
	result := &cutResult{sent: map[string]int{}, served: map[string]int{}}
	clients := &sync.WaitGroup{}
	for number, front := range testbed.fronts {
		for index := range cutClients {
			client := newClient(fmt.Sprint("q", number, index), testbed.checker, seed*100+uint64(10*number+index), testbed.addresses())
			client.model = "m0"
			clients.Go(func() {
				for count := 0; ctx.Err() == nil; count++ {
					kind := []string{pathCall, pathLookup, pathStream, pathResume}[count%4]
					result.record(front.name, client.send(context.Background(), kind, front.client))
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	return result, clients
}

// silence lets the replicas be silent for the length, all together again and again or one after the other, with pauses between.
func (testbed *testbed) silence(length time.Duration, together bool) {
	const pause = 1500 * time.Millisecond
	groups := slices.Repeat([][]*replica{testbed.replicas}, 4)
	if !together {
		groups = nil
		for _, next := range testbed.replicas {
			groups = append(groups, []*replica{next})
		}
	}
	for _, group := range groups {
		var ends []func()
		for _, next := range group {
			ends = append(ends, next.proxy.begin(proxyFault{stalls: true}))
		}
		time.Sleep(length)
		for _, end := range ends {
			end()
		}
		time.Sleep(pause)
	}
}

// linesWith returns the lines of the logs in the folder that have one of the texts.
func linesWith(t *testing.T, folder string, texts ...string) (found []string) {
	eachLogLine(t, folder, func(file, line string) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				found = append(found, file+": "+line)
			}
		}
	})
	return found
}

// unresponded returns the lines that tell of an attempt which was ended for a replica that had not responded.
func unresponded(t *testing.T, folder string) []string {
	t.Helper()
	return slices.DeleteFunc(linesWith(t, folder, `"AttemptReplaced"`), func(line string) bool { return !strings.Contains(line, "Responded=false") })
}
