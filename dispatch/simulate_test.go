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

// simReport is the interval at which the daemons of a simulation learn the load.
const simReport = 250 * time.Millisecond

// simWorld is several daemons before engines with a fixed number of places and a queue.
type simWorld struct {
	mutex   sync.Mutex
	engines []*simEngine
	// reported are the candidates as of the last report.
	reported []route.Candidate
	daemons  []*Dispatcher
	// loads is what each daemon told the others at the last report.
	loads [][]TenantLoad
}

// simEngine serves slots requests at once and the others in the order of their arrival.
type simEngine struct {
	world   *simWorld
	name    string
	slots   int
	running int
	waiting []chan struct{}
}

func newSimWorld(daemons, engines, slots int, seed uint64) *simWorld {
	world := &simWorld{loads: make([][]TenantLoad, daemons)}
	for n := range engines {
		world.engines = append(world.engines, &simEngine{world: world, name: fmt.Sprint("u", n), slots: slots})
	}
	world.report()
	for n := range daemons {
		deps := Deps{Fleet: world, Engines: world, Demand: world, Peers: simPeers{world, n}}
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		world.daemons = append(world.daemons, New(Settings{}, deps, clock.RealClock{}, random))
	}
	return world
}

// follow refreshes the reports until the context ends.
func (world *simWorld) follow(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(simReport)
		loads := make([][]TenantLoad, len(world.daemons))
		for n, daemon := range world.daemons {
			loads[n] = daemon.TenantLoads()
		}
		world.mutex.Lock()
		world.loads = loads
		world.mutex.Unlock()
		world.report()
	}
}

func (world *simWorld) report() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.reported = nil
	for _, engine := range world.engines {
		world.reported = append(world.reported, route.Candidate{
			Upstream: engine.name, Slots: engine.slots, Running: engine.running, Waiting: len(engine.waiting), Reported: time.Now(),
		})
	}
}

func (world *simWorld) Replicas(catalogue.Target) (Snapshot, error) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return Snapshot{Local: world.reported}, nil
}
func (world *simWorld) Service(string) (Snapshot, error)        { return Snapshot{}, nil }
func (world *simWorld) Engine(string) (upstream.Engine, bool)   { return nil, false }
func (world *simWorld) Report(DemandReport)                             {}
func (world *simWorld) Forecast(string) (Forecast, error)       { return Forecast{}, nil }
func (engine *simEngine) Probe(context.Context) (string, error) { return "", nil }

func (world *simWorld) Generator(name string) (upstream.Generator, bool) {
	for _, engine := range world.engines {
		if engine.name == name {
			return engine, true
		}
	}
	return nil, false
}

func (engine *simEngine) Generate(_ context.Context, generation upstream.Generation) (upstream.Stream, error) {
	engine.world.mutex.Lock()
	defer engine.world.mutex.Unlock()
	place := make(chan struct{})
	if engine.running < engine.slots {
		engine.running++
		close(place)
	} else {
		engine.waiting = append(engine.waiting, place)
	}
	return &simStream{engine: engine, place: place, tokens: generation.Request.Tokens}, nil
}

// simStream gives its only piece after a fifth of the service time, which is 10 ms for a token.
type simStream struct {
	engine *simEngine
	place  chan struct{}
	tokens int
	told   bool
	closed bool
}

func (stream *simStream) Status() int         { return 200 }
func (stream *simStream) ContentType() string { return "text/plain" }

func (stream *simStream) Load() (upstream.LoadReport, bool) {
	stream.engine.world.mutex.Lock()
	defer stream.engine.world.mutex.Unlock()
	return upstream.LoadReport{Running: stream.engine.running, Waiting: len(stream.engine.waiting)}, true
}

func (stream *simStream) Next(ctx context.Context) (upstream.Piece, error) {
	service := time.Duration(stream.tokens) * 10 * time.Millisecond
	if stream.told {
		time.Sleep(service * 4 / 5)
		stream.free()
		return upstream.Piece{}, io.EOF
	}
	select {
	case <-stream.place:
	case <-ctx.Done():
		return upstream.Piece{}, ctx.Err()
	}
	select {
	case <-time.After(service / 5):
	case <-ctx.Done():
		return upstream.Piece{}, ctx.Err()
	}
	stream.told = true
	return upstream.Piece{Index: 1}, nil
}

func (stream *simStream) Close() error {
	stream.free()
	return nil
}

// free gives the place to the next request.
func (stream *simStream) free() {
	engine := stream.engine
	engine.world.mutex.Lock()
	defer engine.world.mutex.Unlock()
	if stream.closed {
		return
	}
	stream.closed = true
	if at := slices.Index(engine.waiting, stream.place); at >= 0 {
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

// simPeers tells one daemon what the others told at the last report.
type simPeers struct {
	world *simWorld
	own   int
}

func (peers simPeers) Daemons() int { return len(peers.world.loads) }

func (peers simPeers) Outstanding(model string) int {
	peers.world.mutex.Lock()
	defer peers.world.mutex.Unlock()
	total := 0
	for daemon, loads := range peers.world.loads {
		for _, load := range loads {
			if daemon != peers.own && load.Model == model {
				total += load.Running + load.Waiting
			}
		}
	}
	return total
}

func (peers simPeers) Running(model, tenant string) int {
	peers.world.mutex.Lock()
	defer peers.world.mutex.Unlock()
	total := 0
	for daemon, loads := range peers.world.loads {
		for _, load := range loads {
			if daemon != peers.own && load.Model == model && load.Tenant == tenant {
				total += load.Running
			}
		}
	}
	return total
}

// simResult is what the callers of one tenant saw.
type simResult struct {
	mutex sync.Mutex
	// begun and whole are the times to the begin and the end of answers.
	begun, whole []time.Duration
	// until is the end of the offer, and good counts the answers that began in time and before it.
	until time.Time
	good  int
	// late counts the answers that began after the deadline; refusals counts the others by kind.
	late     int
	refusals map[outcome.Kind]int
	// refused are the times to refusals, and unstated the refusals without a delay to come back.
	refused  []time.Duration
	unstated int
}

// offer sends requests of the tenant to the daemons at the rate for the time, all from the seed.
func (world *simWorld) offer(ctx context.Context, tenant string, rate float64, length, deadline time.Duration, seed uint64) *simResult {
	result := &simResult{refusals: map[outcome.Kind]int{}, until: time.Now().Add(length)}
	random := rand.New(rand.NewPCG(seed, 99))
	var all sync.WaitGroup
	for begin, n := time.Now(), 0; time.Since(begin) < length; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		daemon := world.daemons[random.IntN(len(world.daemons))]
		req := chat(fmt.Sprint(tenant, n))
		req.Tenant, req.Tokens, req.Deadline = tenant, 50+random.IntN(101), time.Now().Add(deadline)
		all.Go(func() { result.one(ctx, daemon, req) })
	}
	all.Wait()
	return result
}

// timedSink notes when the answer began.
type timedSink struct {
	fakeSink
	at time.Time
}

func (sink *timedSink) Begin(status int, contentType string) error {
	sink.at = time.Now()
	return sink.fakeSink.Begin(status, contentType)
}

func (result *simResult) one(ctx context.Context, daemon *Dispatcher, req request.Request) {
	sink := &timedSink{}
	err := daemon.Do(ctx, req, sink)
	result.mutex.Lock()
	defer result.mutex.Unlock()
	if err == nil {
		result.begun = append(result.begun, sink.at.Sub(req.Arrived))
		result.whole = append(result.whole, time.Since(req.Arrived))
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
		result.unstated++
	}
}

// quantile returns the value below which that part of the times lies.
func quantile(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(part*float64(len(sorted)-1))].Round(time.Millisecond)
}
