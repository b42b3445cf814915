package frontsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

const (
	// cutLength is how long the links are cut, and cutSettle the time from the cut on after which requests count.
	cutLength = 9 * time.Second
	cutSettle = 3 * time.Second
	// cutClients is the number of clients of each daemon.
	cutClients = 3
	// minCutShare is the least share of first tries served at cut-off daemons, as a part of that at the others.
	minCutShare = 0.95
)

// cutResult counts first tries by daemon.
type cutResult struct {
	mutex        sync.Mutex
	sent, served map[string]int
}

func (result *cutResult) record(daemon string, served bool) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	result.sent[daemon]++
	if served {
		result.served[daemon]++
	}
}

// share returns the share of first tries served at the daemons, and their number.
func (result *cutResult) share(daemons []int) (float64, int) {
	sent, served := 0, 0
	for _, number := range daemons {
		name := fmt.Sprint("front-", number)
		sent, served = sent+result.sent[name], served+result.served[name]
	}
	return float64(served) / float64(max(sent, 1)), sent
}

// cutCase is a fault of the links of some daemons, and the daemons whose links are and are not cut.
type cutCase struct {
	name   string
	fault  linkFault
	cut    []int
	others []int
	// service names the one whose replicas the links lead to; empty for all replicas.
	service string
}

// TestCutOffDaemonsServe guards against issue 42: daemons that were cut off from all replicas refused or held what the others could
// serve.
func TestCutOffDaemonsServe(t *testing.T) {
	testCuts(t, 5300, []cutCase{
		{"one daemon, links refuse", refused, []int{1}, []int{0, 2, 3}, ""},
		{"one daemon, links hang", hanging, []int{1}, []int{0, 2, 3}, ""},
		{"a data centre, links refuse", refused, []int{0, 2}, []int{1, 3}, ""},
		{"a data centre, links hang", hanging, []int{0, 2}, []int{1, 3}, ""},
	})
}

// TestDaemonsWithMuteLinksServe guards against issue 49: a connection that was accepted and yielded nothing passed for a proof of the
// path, so that daemons with such links lent nothing and held each request until its deadline.
func TestDaemonsWithMuteLinksServe(t *testing.T) {
	testCuts(t, 5310, []cutCase{
		{"one daemon", mute, []int{1}, []int{0, 2, 3}, ""},
		{"a data centre", mute, []int{0, 2}, []int{1, 3}, ""},
		{"three quarters of the daemons", mute, []int{0, 1, 2}, []int{3}, ""},
		{"one daemon, one way", oneWay, []int{1}, []int{0, 2, 3}, ""},
	})
}

// TestDaemonsWithResettingLinksServe guards against issue 49: a connection that was accepted and reset at once passed for a proof of
// the path, so that daemons with such links failed each request.
func TestDaemonsWithResettingLinksServe(t *testing.T) {
	testCuts(t, 5320, []cutCase{
		{"one daemon", resetting, []int{1}, []int{0, 2, 3}, ""},
		{"a data centre", resetting, []int{0, 2}, []int{1, 3}, ""},
		{"three quarters of the daemons", resetting, []int{0, 1, 2}, []int{3}, ""},
	})
}

// TestDaemonsWithoutOneServiceServe guards against daemons that reach the replicas of all services but one: they are not cut off, and
// requests for that service must go through other daemons.
func TestDaemonsWithoutOneServiceServe(t *testing.T) {
	testCuts(t, 5340, []cutCase{
		{"plain service, mute", mute, []int{1}, []int{0, 2, 3}, plainService},
		{"engines, mute", mute, []int{1}, []int{0, 2, 3}, engineService},
		{"plain service of a data centre, links reset", resetting, []int{0, 2}, []int{1, 3}, plainService},
		{"engines of three quarters of the daemons, one way", oneWay, []int{0, 1, 2}, []int{3}, engineService},
	})
}

// testCuts runs the cases beside each other, with consecutive seeds.
func testCuts(t *testing.T, firstSeed uint64, cases []cutCase) {
	binary := build(t)
	for index, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t, binary, firstSeed+uint64(index))
		})
	}
}

// run cuts the daemons off and checks that they serve as much as the others.
func (c cutCase) run(t *testing.T, binary string, seed uint64) {
	testbed := newTestbed(t, *frontsFlag, binary, seed)
	views := testbed.useLinks(t)
	stop := testbed.serve(3 * time.Second)
	result := testbed.runCut(t, seed, testbed.linksOf(views, c.cut, c.service), c.fault)
	stop()
	cutShare, cutCount := result.share(c.cut)
	share, count := result.share(c.others)
	t.Logf("cut off: %.2f of %d first tries served; others: %.2f of %d", cutShare, cutCount, share, count)
	if cutCount < 20 || share < 0.9 {
		t.Errorf("too few requests, or the others are not served")
	}
	if cutShare < minCutShare*share {
		t.Errorf("%.2f of the first tries at cut-off daemons are served, %.2f at the others", cutShare, share)
	}
	for _, violation := range testbed.checker.finish() {
		t.Error(violation)
	}
}

// useLinks gives each daemon links of its own to all replicas.
func (testbed *testbed) useLinks(t *testing.T) []*view {
	var views []*view
	for _, front := range testbed.fronts {
		created, address, err := testbed.newView()
		if err != nil {
			t.Fatal(err)
		}
		front.store.setTarget(address)
		views = append(views, created)
	}
	return views
}

// linksOf returns the links of the daemons to the replicas of the service, or to all if it is empty.
func (testbed *testbed) linksOf(views []*view, daemons []int, service string) (links []*view) {
	targets := map[string]bool{}
	for _, replica := range testbed.replicas {
		targets[replica.proxy.address()] = service == "" || replica.service == service
	}
	for _, number := range daemons {
		links = append(links, views[number].some(func(target string) bool { return targets[target] }))
	}
	return links
}

// runCut sends requests to all daemons, cuts the links, and returns the first tries that count.
func (testbed *testbed) runCut(t *testing.T, seed uint64, cut []*view, fault linkFault) *cutResult {
	ctx, cancel := context.WithTimeout(context.Background(), cutLength)
	defer cancel()
	for _, links := range cut {
		if err := links.each(func(link *replicaLink) error { return link.cut(fault) }); err != nil {
			t.Fatal(err)
		}
	}
	begun := time.Now()
	result := &cutResult{sent: map[string]int{}, served: map[string]int{}}
	var clients sync.WaitGroup
	for number, front := range testbed.fronts {
		for index := range cutClients {
			client := newClient(fmt.Sprint("k", number, index), testbed.checker, seed*100+uint64(10*number+index), testbed.addresses())
			client.model = "m0"
			clients.Go(func() {
				for count := 0; ctx.Err() == nil; count++ {
					kind := []string{pathCall, pathLookup, pathStream, pathResume}[count%4]
					sent := time.Now()
					served := client.send(context.Background(), kind, front.client)
					if sent.Sub(begun) > cutSettle {
						result.record(front.name, served)
					}
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	for _, links := range cut {
		if err := links.each(func(link *replicaLink) error { return link.heal() }); err != nil {
			t.Error(err)
		}
	}
	return result
}

// injectCuts cuts links of some daemons again and again until the context ends, and heals them: to all replicas, to those of one service
// or to some, and now and then a second on and off. It has its own random source, so that the other faults of a seed do not depend on it.
func (testbed *testbed) injectCuts(ctx context.Context, t *testing.T, seed uint64, views []*view) {
	random := rand.New(rand.NewPCG(seed, 12))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		fault := []linkFault{refused, hanging, mute, oneWay, resetting}[random.IntN(5)]
		length := time.Duration(300+random.IntN(3500)) * time.Millisecond
		scope, selected := testbed.drawScope(random)
		count := 1 + random.IntN(max(3*len(views)/4, 1))
		var cut []*view
		for _, number := range random.Perm(len(views))[:count] {
			cut = append(cut, views[number].some(selected))
		}
		flaps := 1
		if random.IntN(4) == 0 {
			flaps, length = 3, time.Second
		}
		t.Logf("links of %d daemons to %s cut for %v, %d times, fault %d", len(cut), scope, length, flaps, fault)
		for flap := range flaps {
			if flap > 0 {
				time.Sleep(length)
			}
			if err := cutFor(cut, fault, length); err != nil {
				t.Error(err)
			}
		}
	}
}

// drawScope draws the replicas to which links are cut, with a name for the log.
func (testbed *testbed) drawScope(random *rand.Rand) (name string, selected func(target string) bool) {
	all := func(string) bool { return true }
	chosen := map[string]bool{}
	kind := random.IntN(4)
	drawn := random.IntN(2)
	for number, replica := range testbed.replicas {
		switch {
		case kind == 1 && replica.service == []string{engineService, plainService}[drawn]:
			chosen[replica.proxy.address()] = true
		case kind == 2 && number%2 == drawn:
			chosen[replica.proxy.address()] = true
		}
	}
	switch kind {
	case 1:
		return "one service", func(target string) bool { return chosen[target] }
	case 2:
		return "some replicas", func(target string) bool { return chosen[target] }
	}
	return "all replicas", all
}

// cutFor cuts the links of the views for the length, and heals them.
func cutFor(views []*view, fault linkFault, length time.Duration) error {
	var failures []error
	for _, view := range views {
		failures = append(failures, view.each(func(link *replicaLink) error { return link.cut(fault) }))
	}
	time.Sleep(length)
	for _, view := range views {
		failures = append(failures, view.each(func(link *replicaLink) error { return link.heal() }))
	}
	return errors.Join(failures...)
}
