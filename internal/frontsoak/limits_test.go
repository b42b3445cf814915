package frontsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// limitHeader names the requests per second that a replica accepts from all daemons together.
	limitHeader = "Server-Limit"
	// limitContact is the time after which the daemons must respect a limit, and limitWindow the time in which a replica
	// may get limitFactor of its limit and limitSlack requests more.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// limitGrace is the time from a response that names a limit until the daemon that forwarded it must respect it.
	limitGrace = 500 * time.Millisecond
	// limitPardon is the time after a start or resumption of a daemon, or a fault of the connections to a replica, for which
	// requests are not counted.
	limitPardon = limitContact + limitWindow
)

// limitPeriod is a time in which one incarnation of a replica names one limit.
type limitPeriod struct {
	replica    string
	perSecond  float64
	from, to   time.Time
	arrivals   []time.Time
	arrivedAll int
	// told maps daemons to when a client first got a response through them that names the limit.
	told map[string]time.Time
}

// startLimit begins a period in which the incarnation names the limit, and ends its former one. The mutex is not held.
func (checker *checker) startLimit(replica string, perSecond float64) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	now := time.Now()
	checker.endLimitLocked(replica, now)
	if perSecond > 0 {
		checker.limits = append(checker.limits, &limitPeriod{replica: replica, perSecond: perSecond, from: now, told: map[string]time.Time{}})
	}
}

// endLimitLocked ends the period of the incarnation, if there is one. The mutex is held.
func (checker *checker) endLimitLocked(replica string, now time.Time) {
	if period := checker.limitOf(replica); period != nil {
		period.to = now
	}
}

// limitOf returns the current period of the incarnation, or nil. The mutex is held.
func (checker *checker) limitOf(replica string) *limitPeriod {
	for _, period := range checker.limits {
		if period.replica == replica && period.to.IsZero() {
			return period
		}
	}
	return nil
}

// recordForwardedLimit records that a client got a response of the incarnation that names its limit.
func (checker *checker) recordForwardedLimit(replica, daemon string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if period := checker.limitOf(replica); period != nil && period.told[daemon].IsZero() {
		period.told[daemon] = time.Now()
	}
}

// recordLimitedArrival counts a request that reached the incarnation of the named replica, if its daemon must respect the
// limit and no fault of its connections may have held the request up. The mutex is held.
func (checker *checker) recordLimitedArrival(name, replica, daemon string, now time.Time) {
	period := checker.limitOf(replica)
	if period == nil {
		return
	}
	period.arrivedAll++
	told := period.told[daemon]
	if now.Sub(checker.notices.lastFault[name]) < limitPardon {
		return
	}
	if !told.IsZero() && now.Sub(told) > limitGrace && !checker.restartedSince(daemon, now.Add(-limitPardon)) {
		period.arrivals = append(period.arrivals, now)
	}
}

// allowed returns the most requests that the replica may get in a window.
func (period *limitPeriod) allowed() float64 {
	return limitFactor*limitWindow.Seconds()*period.perSecond + limitSlack
}

// most returns the largest number of counted requests in a window that ends later than limitContact after the replica
// first named the limit.
func (period *limitPeriod) most() int {
	most, first := 0, 0
	for last, at := range period.arrivals {
		for at.Sub(period.arrivals[first]) > limitWindow {
			first++
		}
		if at.Sub(period.from) > limitContact {
			most = max(most, last-first+1)
		}
	}
	return most
}

// checkLimits records a violation for each limit that was not respected. The mutex is held.
func (checker *checker) checkLimits() {
	for _, period := range checker.limits {
		if most := period.most(); float64(most) > period.allowed() {
			checker.recordViolationLocked("%s named a limit of %v a second and got %d requests in %v, %v are allowed", period.replica, period.perSecond, most, limitWindow, period.allowed())
		}
	}
}

// nameLimit makes the replica name a limit from now on; zero ends it.
func (replica *replica) nameLimit(perSecond float64) {
	replica.withLock(func() { replica.limit = perSecond })
	replica.checker.startLimit(replica.incarnationName(), perSecond)
}

// writeLimit adds the limit of the replica, if it names one, to a response.
func (replica *replica) writeLimit(writer http.ResponseWriter) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.limit > 0 {
		writer.Header().Set(limitHeader, strconv.FormatFloat(replica.limit, 'f', -1, 64))
	}
}

// injectLimits makes random replicas name limits, change them and end them until the context ends. It has its own random
// source, so that the other faults of a seed do not depend on it.
func (testbed *testbed) injectLimits(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		replica := testbed.replicas[random.IntN(len(testbed.replicas))]
		replica.nameLimit([]float64{0, 0.5, 1, 2, 5, 20}[random.IntN(6)])
	}
	for _, replica := range testbed.replicas {
		replica.nameLimit(0)
	}
}

// sendSteadily sends requests of the kind to the addresses in turn, at the rate per second, until the context ends.
func (testbed *testbed) sendSteadily(ctx context.Context, kind string, perSecond int, addresses []string) {
	const clients = 16
	var senders sync.WaitGroup
	for number := range clients {
		client := newClient("steady"+strconv.Itoa(number), testbed.checker, uint64(number), testbed.addresses())
		senders.Go(func() {
			ticker := time.NewTicker(time.Second * clients / time.Duration(perSecond))
			defer ticker.Stop()
			for count := number; ctx.Err() == nil; count++ {
				client.send(ctx, kind, addresses[count%len(addresses)])
				<-ticker.C
			}
		})
	}
	senders.Wait()
}

// TestLimitHoldsForAllDaemonsTogether guards against the incident LIMIT: the daemons went on to send a replica as many
// requests as before it named its limit.
func TestLimitHoldsForAllDaemonsTogether(t *testing.T) {
	cases := []struct {
		name, kind string
		perSecond  float64
		limited    int
	}{
		{"one of three replicas", pathLookup, 2, 1},
		{"all replicas", pathLookup, 1, plainReplicaCount},
		{"calls that may run once", pathCall, 8, 1},
	}
	binary := build(t)
	for index, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testbed, stop := newServingTestbed(t, binary, 6000+uint64(index), 4*time.Second)
			defer stop()
			for _, replica := range testbed.replicas[engineCount : engineCount+c.limited] {
				replica.nameLimit(c.perSecond)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
			defer cancel()
			testbed.sendSteadily(ctx, c.kind, 40, testbed.addresses())
			for _, violation := range testbed.checker.finish() {
				t.Error(violation)
			}
			t.Logf("outcomes %v", testbed.checker.outcomes)
			for _, period := range testbed.checker.limits {
				t.Logf("%s got at most %d in a window, %v are allowed, %d in all", period.replica, period.most(), period.allowed(), period.arrivedAll)
			}
		})
	}
}

// TestModelsAreServedBesideALimitedEngine guards against refusals of models whose only engine has used up its limit: the
// other engines have room for all models and must load them.
func TestModelsAreServedBesideALimitedEngine(t *testing.T) {
	t.Parallel()
	const perSecond, seed = 30, 6100
	testbed, stop := newServingTestbed(t, build(t), seed, 4*time.Second)
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
	defer cancel()
	time.AfterFunc(5*time.Second, func() {
		testbed.soleHolder().nameLimit(1)
		testbed.checker.resetOutcomes()
	})
	testbed.sendSteadily(ctx, pathResume, perSecond, testbed.addresses())
	for _, violation := range testbed.checker.finish() {
		t.Error(violation)
	}
	outcomes := testbed.checker.outcomes
	t.Logf("outcomes from the limit on: %v, %d requests at the limited engine", outcomes, testbed.checker.limits[0].arrivedAll)
	if served := outcomes["200 true"]; served < 9*(served+outcomes["429 true"]+outcomes["503 true"])/10 {
		t.Error("more than one request in ten is refused")
	}
}

// soleHolder returns an engine that holds a model which no other engine holds, or the first engine if there is none.
func (testbed *testbed) soleHolder() *replica {
	holders := map[string][]*replica{}
	for _, engine := range testbed.replicas[:engineCount] {
		engine.withLock(func() {
			for _, model := range engine.models {
				holders[model] = append(holders[model], engine)
			}
		})
	}
	for _, model := range modelNames() {
		if len(holders[model]) == 1 {
			return holders[model][0]
		}
	}
	return testbed.replicas[0]
}

// resetOutcomes forgets the outcomes so far.
func (checker *checker) resetOutcomes() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	clear(checker.outcomes)
}
