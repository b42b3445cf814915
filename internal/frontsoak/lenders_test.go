package frontsoak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// TestFrozenLendersAreReplaced guards against a gap in issue 44: a daemon that is cut off from the replicas passes requests on
// through another one, which freezes; they were held until their deadline.
func TestFrozenLendersAreReplaced(t *testing.T) {
	const (
		seed = 5500
		// frozen is how long the lender stands still; no request is sent in the last 4 s of it, the time that each may take.
		frozen = 8 * time.Second
		// saving is how long requests add to the retry budget before.
		saving = 3 * time.Second
		// cut and lender are the numbers of the daemon that is cut off, and of the other one of its data centre.
		cut, lender = 0, 2
		clientsEach = 6
	)
	testbed := newTestbed(t, *frontsFlag, build(t), seed)
	views := testbed.useLinks(t)
	stop := testbed.serve(3 * time.Second)
	if err := views[cut].each(func(link *replicaLink) error { return link.cut(hanging) }); err != nil {
		t.Fatal(err)
	}
	time.Sleep(cutSettle)
	ctx, cancel := context.WithTimeout(context.Background(), saving+frozen-4*time.Second)
	defer cancel()
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var longest []time.Duration
	result := &cutResult{sent: map[string]int{}, served: map[string]int{}}
	for number := range clientsEach {
		client := newClient(fmt.Sprint("l", number), testbed.checker, seed*100+uint64(number), testbed.addresses())
		client.model = "m0"
		clients.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				sent := time.Now()
				served := client.send(context.Background(), []string{pathLookup, pathResume}[count%2], testbed.fronts[cut].client)
				result.record(testbed.fronts[cut].name, served)
				mutex.Lock()
				longest = append(longest, time.Since(sent))
				mutex.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(saving)
	testbed.fronts[lender].suspend()
	clients.Wait()
	testbed.fronts[lender].resume(testbed.checker)
	stop()
	share, count := result.share([]int{cut})
	slices.Sort(longest)
	t.Logf("%.3f of %d requests served, the slowest after %v", share, count, longest[len(longest)-3:])
	if share < 0.98 || longest[len(longest)-1] > 3*time.Second {
		t.Errorf("requests that a frozen daemon had were held")
	}
	for _, violation := range testbed.checker.finish() {
		t.Error(violation)
	}
}
