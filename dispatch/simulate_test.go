package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// simReportInterval is the interval at which the simulated daemons receive load reports.
const simReportInterval = 250 * time.Millisecond

// simCluster simulates several daemons in front of engines that have a fixed number of slots and a queue.
type simCluster struct {
	mutex   sync.Mutex
	engines []*simEngine
	// reported holds the candidates as of the last report.
	reported []route.Candidate
	daemons  []*Dispatcher
	// loads holds the load that each daemon reported last.
	loads [][]TenantLoad
}

// simEngine serves up to slots requests at once and queues the others in the order of their arrival.
type simEngine struct {
	cluster *simCluster
	name    string
	slots   int
	running int
	waiting []chan struct{}
}

func newSimCluster(daemons, engines, slots int, seed uint64) *simCluster {
	cluster := &simCluster{loads: make([][]TenantLoad, daemons)}
	for n := range engines {
		cluster.engines = append(cluster.engines, &simEngine{cluster: cluster, name: fmt.Sprint("u", n), slots: slots})
	}
	cluster.report()
	for n := range daemons {
		deps := Deps{Fleet: cluster, Engines: cluster, Demand: cluster, Peers: simPeers{cluster, n}}
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		cluster.daemons = append(cluster.daemons, New(Settings{}, deps, clock.RealClock{}, random))
	}
	return cluster
}

// refreshReports refreshes the reports until the context ends.
func (cluster *simCluster) refreshReports(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(simReportInterval)
		loads := make([][]TenantLoad, len(cluster.daemons))
		for n, daemon := range cluster.daemons {
			loads[n] = daemon.TenantLoads()
		}
		cluster.mutex.Lock()
		cluster.loads = loads
		cluster.mutex.Unlock()
		cluster.report()
	}
}

func (cluster *simCluster) report() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.reported = nil
	for _, engine := range cluster.engines {
		cluster.reported = append(cluster.reported, route.Candidate{
			Upstream: engine.name, Slots: engine.slots, Running: engine.running, Waiting: len(engine.waiting), Reported: time.Now(),
		})
	}
}

func (cluster *simCluster) Replicas(catalogue.Target) (Snapshot, error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return Snapshot{Local: cluster.reported}, nil
}
func (cluster *simCluster) Service(string) (Snapshot, error)      { return Snapshot{}, nil }
func (cluster *simCluster) Engine(string) (upstream.Engine, bool) { return nil, false }
func (cluster *simCluster) Report(DemandReport)                   {}
func (cluster *simCluster) Forecast(string) (Forecast, error)     { return Forecast{}, nil }
func (engine *simEngine) Probe(context.Context) (string, error)   { return "", nil }

func (cluster *simCluster) Generator(name string) (upstream.Generator, bool) {
	for _, engine := range cluster.engines {
		if engine.name == name {
			return engine, true
		}
	}
	return nil, false
}

func (engine *simEngine) Generate(_ context.Context, generation upstream.Generation) (upstream.Stream, error) {
	engine.cluster.mutex.Lock()
	defer engine.cluster.mutex.Unlock()
	admitted := make(chan struct{})
	if engine.running < engine.slots {
		engine.running++
		close(admitted)
	} else {
		engine.waiting = append(engine.waiting, admitted)
	}
	return &simStream{engine: engine, admitted: admitted, tokens: generation.Request.Tokens}, nil
}

// simStream returns its only piece after a fifth of the service time, which is 10 ms per token.
type simStream struct {
	engine   *simEngine
	admitted chan struct{}
	tokens   int
	started  bool
	closed   bool
}

func (stream *simStream) Status() int         { return 200 }
func (stream *simStream) ContentType() string { return "text/plain" }

func (stream *simStream) Load() (upstream.LoadReport, bool) {
	stream.engine.cluster.mutex.Lock()
	defer stream.engine.cluster.mutex.Unlock()
	return upstream.LoadReport{Running: stream.engine.running, Waiting: len(stream.engine.waiting)}, true
}

func (stream *simStream) Next(ctx context.Context) (upstream.Piece, error) {
	service := time.Duration(stream.tokens) * 10 * time.Millisecond
	if stream.started {
		time.Sleep(service * 4 / 5)
		stream.freeSlot()
		return upstream.Piece{}, io.EOF
	}
	select {
	case <-stream.admitted:
	case <-ctx.Done():
		return upstream.Piece{}, ctx.Err()
	}
	select {
	case <-time.After(service / 5):
	case <-ctx.Done():
		return upstream.Piece{}, ctx.Err()
	}
	stream.started = true
	return upstream.Piece{Index: 1}, nil
}

func (stream *simStream) Close() error {
	stream.freeSlot()
	return nil
}

// freeSlot passes the slot to the next request.
func (stream *simStream) freeSlot() {
	engine := stream.engine
	engine.cluster.mutex.Lock()
	defer engine.cluster.mutex.Unlock()
	if stream.closed {
		return
	}
	stream.closed = true
	if at := slices.Index(engine.waiting, stream.admitted); at >= 0 {
		engine.waiting = slices.Delete(engine.waiting, at, at+1)
		return
	}
	if len(engine.waiting) > 0 {
		close(engine.waiting[0])
		engine.waiting = engine.waiting[1:]
		return
	}
	engine.running--
}

// simPeers returns to one daemon the last load reports of the others.
type simPeers struct {
	cluster *simCluster
	own     int
}

func (peers simPeers) Daemons() int { return len(peers.cluster.loads) }

func (peers simPeers) Outstanding(model string) int {
	peers.cluster.mutex.Lock()
	defer peers.cluster.mutex.Unlock()
	total := 0
	for daemon, loads := range peers.cluster.loads {
		for _, load := range loads {
			if daemon != peers.own && load.Model == model {
				total += load.Running + load.Waiting
			}
		}
	}
	return total
}

func (peers simPeers) Running(model, tenant string) int {
	peers.cluster.mutex.Lock()
	defer peers.cluster.mutex.Unlock()
	total := 0
	for daemon, loads := range peers.cluster.loads {
		for _, load := range loads {
			if daemon != peers.own && load.Model == model && load.Tenant == tenant {
				total += load.Running
			}
		}
	}
	return total
}

// simResult collects the results of the requests of one tenant.
type simResult struct {
	mutex sync.Mutex
	// startTimes and totalTimes are the times from arrival to the begin and to the end of responses.
	startTimes, totalTimes []time.Duration
	// until is when sending ends. good counts the responses that began before it and before their deadline.
	until time.Time
	good  int
	// late counts the responses that began after the deadline; refusals counts the failures by kind.
	late     int
	refusals map[outcome.Kind]int
	// refused holds the times to failures; withoutRetryAfter counts the failures without a Retry-After delay.
	refused           []time.Duration
	withoutRetryAfter int
}

// sendRequests sends requests of the tenant to random daemons at the rate per second for the given length. The
// same seed gives the same requests.
func (cluster *simCluster) sendRequests(ctx context.Context, tenant string, estimator float64, length, deadline time.Duration, seed uint64) *simResult {
	result := &simResult{refusals: map[outcome.Kind]int{}, until: time.Now().Add(length)}
	random := rand.New(rand.NewPCG(seed, 99))
	var all sync.WaitGroup
	for begin, n := time.Now(), 0; time.Since(begin) < length; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / estimator * float64(time.Second)))
		daemon := cluster.daemons[random.IntN(len(cluster.daemons))]
		req := chatRequest(fmt.Sprint(tenant, n))
		req.Tenant, req.Tokens, req.Deadline = tenant, 50+random.IntN(101), time.Now().Add(deadline)
		all.Go(func() { result.runOne(ctx, daemon, req) })
	}
	all.Wait()
	return result
}

// timedSink records when the response began.
type timedSink struct {
	fakeSink
	at time.Time
}

func (sink *timedSink) Begin(status int, contentType string) error {
	sink.at = time.Now()
	return sink.fakeSink.Begin(status, contentType)
}

func (result *simResult) runOne(ctx context.Context, daemon *Dispatcher, req request.Request) {
	sink := &timedSink{}
	err := daemon.Do(ctx, req, sink)
	result.mutex.Lock()
	defer result.mutex.Unlock()
	if err == nil {
		result.startTimes = append(result.startTimes, sink.at.Sub(req.Arrived))
		result.totalTimes = append(result.totalTimes, time.Since(req.Arrived))
		if sink.at.After(req.Deadline) {
			result.late++
		} else if sink.at.Before(result.until) {
			result.good++
		}
		return
	}
	failure := outcome.From(err)
	result.refusals[failure.Kind]++
	result.refused = append(result.refused, time.Since(req.Arrived))
	if failure.RetryAfter <= 0 {
		result.withoutRetryAfter++
	}
}

// quantile returns the quantile of the times for a fraction between 0 and 1.
func quantile(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(part*float64(len(sorted)-1))].Round(time.Millisecond)
}
