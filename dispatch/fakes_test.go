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
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// fakeWorld implements Fleet, Engines and Demand over fake engines.
type fakeWorld struct {
	mutex    sync.Mutex
	engines  map[string]*fakeEngine
	order    []string
	changed  chan struct{}
	forecast Forecast
	// away names the engines of another data centre.
	away    map[string]bool
	coldErr error
	needs   map[string]Need
}

func newWorld(names ...string) *fakeWorld {
	world := &fakeWorld{engines: map[string]*fakeEngine{}, changed: make(chan struct{}), needs: map[string]Need{}}
	for _, name := range names {
		world.add(name)
	}
	return world
}

func (world *fakeWorld) add(name string) *fakeEngine {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	engine := &fakeEngine{name: name, boot: name + "/1", slots: 4, pieces: 3, gap: 10 * time.Millisecond, runs: map[string]int{}}
	engine.loadTime = 5 * time.Millisecond
	engine.chaosFields = chaosFields{ids: map[string]int{}, once: map[string]int{}, recovers: time.Hour}
	world.engines[name] = engine
	world.order = append(world.order, name)
	close(world.changed)
	world.changed = make(chan struct{})
	return engine
}

func (world *fakeWorld) dispatcher(settings Settings) *Dispatcher {
	return New(settings, Deps{Fleet: world, Engines: world, Demand: world}, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
}

func (world *fakeWorld) Replicas(catalogue.Target) (Snapshot, error) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	snapshot := Snapshot{Changed: world.changed}
	for _, name := range world.order {
		if world.away[name] {
			snapshot.Others = append(snapshot.Others, world.engines[name].candidate())
			continue
		}
		snapshot.Own = append(snapshot.Own, world.engines[name].candidate())
	}
	return snapshot, nil
}

func (world *fakeWorld) Service(string) (Snapshot, error) { return world.Replicas(catalogue.Target{}) }

func (world *fakeWorld) Generator(name string) (upstream.Generator, bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	engine, ok := world.engines[name]
	return engine, ok
}

func (world *fakeWorld) Engine(name string) (upstream.Engine, bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	engine, ok := world.engines[name]
	return engine, ok
}

func (world *fakeWorld) Report(need Need) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.needs[need.Target.String()] = need
}

func (world *fakeWorld) need(model string) Need {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.needs[model]
}

func (world *fakeWorld) Forecast(string) (Forecast, error) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.forecast, world.coldErr
}

// fakeEngine is an engine that streams numbered pieces and fails as its fields tell.
type fakeEngine struct {
	chaosFields
	mutex  sync.Mutex
	name   string
	boot   string
	slots  int
	pieces int
	gap    time.Duration
	// leaving states that the candidate leaves.
	leaving bool
	// listed are the adapters that the reports name; needs states that others than adapters are refused.
	listed []string
	needs  bool
	// adapters are the adapters that were loaded, in order.
	adapters []string
	// generate is the error of the next generations, by request body.
	generate map[string]error
	// breakAt cuts a stream that was not resumed with breakErr before the piece.
	breakAt  int
	breakErr error
	// reports states that the load is reported, without a lag.
	reports bool
	// loadTime is how long an order takes.
	loadTime time.Duration
	// final states that the engine cannot resume.
	final bool
	// shift is added to the piece at which a resumed stream goes on.
	shift int
	// poison is the body that crashes the engine.
	poison string
	// runs counts the executions by request body.
	runs map[string]int
	// active is the number of streams, most its largest value.
	active, most int
	// tried counts the generations if it is set.
	tried *int
	// dead states that the engine does not answer.
	dead bool
}

func (engine *fakeEngine) candidate() route.Candidate {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	candidate := route.Candidate{Adapters: engine.listed, Upstream: engine.name, BootID: engine.boot, Slots: engine.slots, Leaving: engine.leaving, Version: "v1"}
	if engine.reports {
		candidate.Running, candidate.Reported = engine.active, time.Now()
	}
	return candidate
}

func (engine *fakeEngine) Generate(_ context.Context, generation upstream.Generation) (upstream.Stream, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	body := string(generation.Request.Body)
	if engine.tried != nil {
		*engine.tried++
	}
	if engine.dead {
		return nil, upstream.ErrNotSent
	}
	if err := engine.generate[body]; err != nil {
		return nil, err
	}
	if engine.needs && !slices.Contains(engine.adapters, generation.Request.Target.Adapter) {
		return nil, &upstream.RefusedError{Status: 409, Reason: "adapter not loaded"}
	}
	ran, fault := engine.lose()
	if engine.final && generation.ResumeAfter > 0 {
		return nil, &upstream.RefusedError{Status: 410, Reason: "cannot resume"}
	}
	if ran && generation.ResumeAfter == 0 {
		engine.record(generation)
	}
	if fault != nil {
		return nil, fault
	}
	engine.active++
	engine.most = max(engine.most, engine.active)
	stream := &fakeStream{engine: engine, boot: engine.boot, body: body, next: generation.ResumeAfter + 1, total: engine.pieces}
	stream.silenced = engine.silenced
	if generation.ResumeAfter > 0 {
		stream.next += engine.shift
	}
	if generation.ResumeAfter == 0 {
		stream.breakAt, stream.breakErr = engine.breakAt, engine.breakErr
	}
	return stream, nil
}

func (engine *fakeEngine) Probe(context.Context) (string, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.dead {
		return "", upstream.ErrNotSent
	}
	if time.Now().Before(engine.frozen) {
		return "", upstream.ErrNoResponse
	}
	return engine.boot, nil
}

func (engine *fakeEngine) State(context.Context) (upstream.State, error) {
	return upstream.State{}, upstream.ErrNotSent
}

func (engine *fakeEngine) Send(_ context.Context, order upstream.Order) (upstream.Verdict, error) {
	time.Sleep(engine.loadTime)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.adapters = append(engine.adapters, order.Adapter)
	return upstream.Accepted, nil
}

// fakeStream is one answer of a fakeEngine.
type fakeStream struct {
	engine   *fakeEngine
	boot     string
	body     string
	next     int
	total    int
	breakAt  int
	breakErr error
	closed   bool
	// silenced is the number of cuts before the stream.
	silenced int
}

// wait returns how long the next piece takes, and what comes instead if the stream is silent.
func (stream *fakeStream) wait() (time.Duration, error) {
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	frozen := time.Until(stream.engine.frozen)
	if stream.silenced != stream.engine.silenced || frozen > silenceLimit {
		return silenceLimit, upstream.ErrStalled
	}
	return max(stream.engine.gap, frozen), nil
}

func (stream *fakeStream) Status() int                       { return 200 }
func (stream *fakeStream) ContentType() string               { return "text/plain" }
func (stream *fakeStream) Load() (upstream.LoadReport, bool) { return upstream.LoadReport{}, false }

func (stream *fakeStream) Next(ctx context.Context) (upstream.Piece, error) {
	pause, silent := stream.wait()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return upstream.Piece{}, ctx.Err()
	}
	if silent != nil {
		return upstream.Piece{}, silent
	}
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	if stream.engine.dead || stream.engine.boot != stream.boot {
		return upstream.Piece{}, upstream.ErrTruncated
	}
	if stream.breakAt == stream.next {
		return upstream.Piece{}, stream.breakErr
	}
	if stream.next > stream.total {
		return upstream.Piece{}, io.EOF
	}
	piece := upstream.Piece{Index: stream.next, Data: fmt.Appendf(nil, "%s-%d", stream.body, stream.next), Tokens: 1}
	stream.next++
	return piece, nil
}

func (stream *fakeStream) Close() error {
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	if !stream.closed {
		stream.closed = true
		stream.engine.active--
	}
	return nil
}
