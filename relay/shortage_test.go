//go:build !race

// In some runs of this test under the race detector the process ended by a segmentation violation in __tsan::SlotLock (Go 1.26.8).
// See KNOWN-RED.txt.

package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// The model of a shortage: daemons that learn each other's load with a delay, in front of engines that serve by priority.
const (
	shortageDaemons  = 4
	shortageEngines  = 4
	shortageSlots    = 12
	shortageQueue    = 18
	shortageService  = time.Second
	shortagePrompt   = 60 * time.Millisecond
	shortageInterval = 250 * time.Millisecond
	shortageTime     = 20 * time.Second
)

// shortageKind is a kind of requests.
type shortageKind struct {
	path             string
	priority         int
	rate             float64
	target, deadline time.Duration
	inTime, late     float64
}

var shortageKinds = []shortageKind{
	{"/short/", 0, 12, 500 * time.Millisecond, 6 * time.Second, 3.2, 0.67},
	{"/drafts/", 1, 19, 800 * time.Millisecond, 12 * time.Second, 2.5, 1.3},
	{"/archival/", 2, 10, 6 * time.Second, 25 * time.Second, 9.1, 2.1},
}

// shortageEngine is an engine with slots and a queue by priority. The mutex of the shortage guards it.
type shortageEngine struct {
	running int
	waiting []*shortageTurn
}

type shortageTurn struct {
	priority int
	granted  chan struct{}
}

// shortage is one run of the model, and the Upstream of its relays.
type shortage struct {
	mutex           sync.Mutex
	engines         map[string]*shortageEngine
	relays          []*Relay
	offered, served map[string]int
	worth           map[string]float64
}

func (run *shortage) Send(ctx context.Context, _ *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error) {
	run.mutex.Lock()
	engine, turn := run.engines[attempt.Replica.ID], &shortageTurn{attempt.Priority, make(chan struct{})}
	if engine == nil || len(engine.waiting) >= shortageQueue {
		run.mutex.Unlock()
		return rejected(false).reply, nil
	}
	if engine.running < shortageSlots {
		engine.running++
		close(turn.granted)
	} else {
		at, _ := slices.BinarySearchFunc(engine.waiting, turn.priority+1, func(other *shortageTurn, priority int) int { return other.priority - priority })
		engine.waiting = slices.Insert(engine.waiting, at, turn)
	}
	run.mutex.Unlock()
	select {
	case <-turn.granted:
	case <-ctx.Done():
	}
	if !wait(ctx, shortagePrompt) {
		run.leave(engine, turn)
		return nil, exchange.ErrLost
	}
	reply := parted(io.EOF).reply
	time.AfterFunc(shortageService, func() { run.leave(engine, turn) })
	reply.Body = &partedBody{ctx, []part{{0, events(1, 1)}, {shortageService / 4, events(2, 2)}, {shortageService / 4, events(3, 3)}, {shortageService / 4, events(4, 4)}, {shortageService / 4, events(5, 5)}}, io.EOF}
	return reply, nil
}

// leave ends a request at the engine, and grants its slot to the next one.
func (run *shortage) leave(engine *shortageEngine, turn *shortageTurn) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if at := slices.Index(engine.waiting, turn); at >= 0 {
		engine.waiting = slices.Delete(engine.waiting, at, at+1)
		return
	}
	if len(engine.waiting) == 0 {
		engine.running--
		return
	}
	close(engine.waiting[0].granted)
	engine.waiting = engine.waiting[1:]
}

// shareLoads gives each daemon the requests in flight of the others.
func (run *shortage) shareLoads() {
	for _, relay := range run.relays {
		others := map[topology.Incarnation]demand.InFlight{}
		for _, other := range run.relays {
			if other == relay {
				continue
			}
			for key, count := range other.deps.Demand.InFlight() {
				others[key.Incarnation] = others[key.Incarnation].Plus(count)
			}
		}
		relay.deps.Balancer.SetRemoteInFlight(others)
		if notified, ok := any(relay).(interface{ CapacityChanged() }); ok {
			notified.CapacityChanged()
		}
	}
}

// timedClient is a client that notes when its first event came.
type timedClient struct {
	client
	first time.Time
}

func (client *timedClient) Write(part []byte) error {
	if client.first.IsZero() {
		client.first = time.Now()
	}
	return client.client.Write(part)
}

// ask sends a request, and once more after a refusal, and counts what came of it.
func (run *shortage) ask(kind *shortageKind, account *topology.Account, id string, daemon int, atOnce bool) {
	begun, name := time.Now(), kind.path
	if account != nil {
		name += account.Name
	}
	for attempt := range 2 {
		sink := &timedClient{}
		left := kind.deadline - time.Since(begun)
		_, failure := run.relays[(daemon+attempt)%len(run.relays)].Serve(context.Background(), &exchange.Request{
			Method: http.MethodPost, Target: kind.path, Path: kind.path, Host: "h", Header: http.Header{}, Arrived: time.Now(), Account: account,
			Metadata: exchange.Metadata{ID: fmt.Sprint(id, attempt), Model: "m", ClientTimeout: left, PromptTokens: 800, OutputTokens: 800, TokensStated: true},
		}, sink)
		if failure != nil && !sink.Begun() {
			if !atOnce {
				time.Sleep(min(failure.RetryAfter, left/3))
			}
			continue
		}
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.offered[name]++
		if failure == nil {
			run.served[name]++
			run.worth[name] += map[bool]float64{true: kind.inTime, false: kind.late}[sink.first.Sub(begun) <= kind.target]
		}
		return
	}
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.offered[name]++
}

func newShortage() *shortage {
	run := &shortage{engines: map[string]*shortageEngine{}, offered: map[string]int{}, served: map[string]int{}, worth: map[string]float64{}}
	var replicas []topology.Replica
	for index := range shortageEngines {
		id := fmt.Sprint("e", index)
		run.engines[id] = &shortageEngine{}
		replicas = append(replicas, topology.Replica{Incarnation: topology.Incarnation{ID: id}, Service: "engine", Zone: "z", Slots: shortageSlots, Holding: topology.Holding{Models: []topology.LoadedModel{{Model: "m"}}}})
	}
	var routes []topology.Route
	for _, kind := range shortageKinds {
		routes = append(routes, topology.Route{Host: "h", PathPrefix: kind.path, Kind: topology.Streaming, Priority: kind.priority, Timeout: kind.deadline, LatencyTarget: kind.target, GapTarget: 300 * time.Millisecond, Targets: engineTarget, MaxAttempts: 1})
	}
	for index := range shortageDaemons {
		known := directory.New(clock.RealClock{})
		known.SetReplicas(replicas)
		relay := New(Settings{Zone: "z", MaxSavedRetries: 8, RetryShare: 0.1}, Deps{
			Upstream: run, Directory: known, Balancer: balance.New(rand.New(rand.NewPCG(uint64(index), 2))), Demand: demand.New(), Suspects: quarantine.NewTracker(crashLimit), Notices: notice.New(),
			Limiter: ratelimit.NewLimiter(ratelimit.NewTable()), Origins: &origins{known: map[string]origin.Origin{}}, Clock: clock.RealClock{}, DaemonIndex: func() int { return index },
		})
		relay.Configure((&topology.Configuration{Version: 1, Routes: routes, Services: map[string]topology.Service{
			"engine": {Name: "engine", Engine: &topology.EngineSpec{Slots: shortageSlots, CacheTokens: 65383, Models: map[string]topology.Model{"m": {Name: "m"}}}},
		}}).Index())
		run.relays = append(run.relays, relay)
	}
	return run
}

// shortageCase is a load of the model.
type shortageCase struct {
	name string
	// factors multiply the rates of the kinds, and flood that of each of the flooding of four accounts; zero means no accounts.
	factors  [3]float64
	flood    float64
	flooding int
	atOnce   bool
	lost     int
}

var shortageCases = []shortageCase{
	{name: "unhurried x 2.4", factors: [3]float64{1, 1, 2.4}},
	{name: "all x 2.5", factors: [3]float64{2.5, 2.5, 2.5}},
	{name: "all x 2.5, retry at once", factors: [3]float64{2.5, 2.5, 2.5}, atOnce: true},
	{name: "one account x 5", factors: [3]float64{1, 1, 1}, flood: 5, flooding: 1},
	{name: "three accounts x 5", factors: [3]float64{1, 1, 1}, flood: 5, flooding: 3},
	{name: "a quarter lost", factors: [3]float64{1, 1, 1}, lost: 1},
}

// play runs the load.
func (run *shortage) play(load shortageCase) {
	random := rand.New(rand.NewPCG(7, 7))
	accounts := []*topology.Account{nil}
	if load.flood > 0 {
		accounts = nil
		for index := range 4 {
			accounts = append(accounts, &topology.Account{Name: fmt.Sprint("account", index)})
		}
	}
	var clients sync.WaitGroup
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < shortageTime; passed += step {
		if passed%shortageInterval == 0 {
			run.shareLoads()
		}
		if passed == shortageTime/4 {
			run.mutex.Lock()
			for index := range load.lost {
				delete(run.engines, fmt.Sprint("e", index))
			}
			run.mutex.Unlock()
		}
		for index := range shortageKinds {
			for number, account := range accounts {
				rate := shortageKinds[index].rate * load.factors[index] / float64(len(accounts))
				if number < load.flooding {
					rate *= load.flood
				}
				for range int(rate*step.Seconds() + random.Float64()) {
					daemon, id := random.IntN(shortageDaemons), fmt.Sprint(random.Uint64())
					clients.Go(func() { run.ask(&shortageKinds[index], account, id, daemon, load.atOnce) })
				}
			}
		}
		time.Sleep(step)
	}
	clients.Wait()
}

// total returns the requests offered and served and their worth over the names with the part.
func (run *shortage) total(part string) (offered, served int, worth float64) {
	for name := range run.offered {
		if strings.Contains(name, part) {
			offered, served, worth = offered+run.offered[name], served+run.served[name], worth+run.worth[name]
		}
	}
	return offered, served, worth
}

// TestShortage guards against kinds that get no capacity, and against urgent requests that are served less often than less urgent ones.
func TestShortage(t *testing.T) {
	for _, load := range shortageCases {
		t.Run(load.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := newShortage()
				run.play(load)
				allOffered, allServed, worth := run.total("")
				t.Logf("SHORTAGE | %s | all | %d of %d | %.0f", load.name, allServed, allOffered, worth)
				last := 1.0
				for _, kind := range shortageKinds {
					offered, served, worth := run.total(kind.path)
					t.Logf("SHORTAGE | %s | %s | %d of %d | %.0f", load.name, kind.path, served, offered, worth)
					share := float64(served) / float64(offered)
					if share < float64(allServed)/float64(allOffered)/4 || share > last+0.05 {
						t.Errorf("%s: served %.2f, the more urgent kind %.2f, all %d of %d", kind.path, share, last, allServed, allOffered)
					}
					last = share
				}
				if load.flooding > 0 {
					offered, served, _ := run.total("account3")
					t.Logf("SHORTAGE | %s | other account | %d of %d |", load.name, served, offered)
				}
			})
		})
	}
}
