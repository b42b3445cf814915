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

// fakeCluster implements Fleet, Engines and Demand with fake engines.
type fakeCluster struct {
	mutex    sync.Mutex
	engines  map[string]*fakeEngine
	order    []string
	changed  chan struct{}
	forecast Forecast
	// remote names the engines of another data centre.
	remote      map[string]bool
	forecastErr error
	demands     map[string]DemandReport
}

func newCluster(names ...string) *fakeCluster {
	cluster := &fakeCluster{engines: map[string]*fakeEngine{}, changed: make(chan struct{}), demands: map[string]DemandReport{}}
	for _, name := range names {
		cluster.add(name)
	}
	return cluster
}

func (cluster *fakeCluster) add(name string) *fakeEngine {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine := &fakeEngine{name: name, boot: name + "/1", slots: 4, pieces: 3, version: "v1", release: "r1", gap: 10 * time.Millisecond, runs: map[string]int{}}
	engine.loadTime = 5 * time.Millisecond
	engine.chaosFields = chaosFields{ids: map[string]int{}, nonIdempotentRuns: map[string]int{}, restartDelay: time.Hour}
	cluster.engines[name] = engine
	cluster.order = append(cluster.order, name)
	close(cluster.changed)
	cluster.changed = make(chan struct{})
	return engine
}

func (cluster *fakeCluster) dispatcher(settings Settings) *Dispatcher {
	return New(settings, Deps{Fleet: cluster, Engines: cluster, Demand: cluster}, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
}

func (cluster *fakeCluster) Replicas(catalogue.Target) (Snapshot, error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	snapshot := Snapshot{Changed: cluster.changed}
	for _, name := range cluster.order {
		if cluster.remote[name] {
			snapshot.Remote = append(snapshot.Remote, cluster.engines[name].candidate())
			continue
		}
		snapshot.Local = append(snapshot.Local, cluster.engines[name].candidate())
	}
	return snapshot, nil
}

func (cluster *fakeCluster) Service(string) (Snapshot, error) {
	return cluster.Replicas(catalogue.Target{})
}

func (cluster *fakeCluster) Generator(name string) (upstream.Generator, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine, ok := cluster.engines[name]
	return engine, ok
}

func (cluster *fakeCluster) Engine(name string) (upstream.Engine, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	engine, ok := cluster.engines[name]
	return engine, ok
}

func (cluster *fakeCluster) Report(demand DemandReport) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.demands[demand.Target.String()] = demand
}

func (cluster *fakeCluster) demand(model string) DemandReport {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.demands[model]
}

func (cluster *fakeCluster) Forecast(string) (Forecast, error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.forecast, cluster.forecastErr
}

// fakeEngine streams numbered pieces and fails as configured by its fields.
type fakeEngine struct {
	chaosFields
	mutex  sync.Mutex
	name   string
	boot   string
	slots  int
	pieces int
	gap    time.Duration
	// leaving is reported with the candidate.
	leaving bool
	// listed are the adapters that the replica reports. requiresAdapter makes it refuse requests whose adapter
	// is not loaded.
	listed          []string
	requiresAdapter bool
	// adapters are the adapters that were loaded, in order.
	adapters []string
	// generate is the error returned by Generate, by request body.
	generate map[string]error
	// breakAt is the piece before which a new stream fails with breakErr; resumed streams do not fail.
	breakAt  int
	breakErr error
	// quietAt is the piece before which a new stream sends nothing for the time quiet, without heartbeats; one
	// means before the header.
	quietAt int
	quiet   time.Duration
	// quietResumes is the number of streams that are resumed next and never send their headers.
	quietResumes int
	// version is the version of the model that the replica holds, and release that of the engine's software.
	version, release string
	// reports states that the candidate carries the current load.
	reports bool
	// loadTime is how long an order takes.
	loadTime time.Duration
	// cannotResume makes the engine refuse to resume or export a generation.
	cannotResume bool
	// resumeShift is added to the piece at which a resumed stream continues.
	resumeShift int
	// poison is the request body that crashes the engine.
	poison string
	// runs counts the executions by request body.
	runs map[string]int
	// active is the number of open streams, maxActive its largest value.
	active, maxActive int
	// generations counts the calls of Generate unless it is nil.
	generations *int
	// down states that the engine does not respond.
	down bool
}

func (engine *fakeEngine) candidate() route.Candidate {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	candidate := route.Candidate{Adapters: engine.listed, Upstream: engine.name, BootID: engine.boot, Slots: engine.slots, Leaving: engine.leaving, Version: engine.version, Release: engine.release}
	if engine.reports {
		candidate.Running, candidate.Reported = engine.active, time.Now()
	}
	return candidate
}

func (engine *fakeEngine) Generate(ctx context.Context, generation upstream.Generation) (upstream.Stream, error) {
	stream, err := engine.accept(generation)
	if err != nil {
		return nil, err
	}
	length, silent := stream.headerWait()
	if !silent {
		return stream, nil
	}
	if err := stream.pause(ctx, length, true); err != nil {
		_ = stream.Close()
		return nil, fmt.Errorf("%w: %w", upstream.ErrNoResponse, err)
	}
	stream.quietAt = 0
	return stream, nil
}

// set changes the engine.
func (engine *fakeEngine) set(change func(engine *fakeEngine)) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	change(engine)
}

// headerWait returns how long the header takes, and whether nothing is sent meanwhile.
func (stream *fakeStream) headerWait() (length time.Duration, silent bool) {
	engine := stream.engine
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.next > 1 && engine.quietResumes > 0 {
		engine.quietResumes--
		return forever, true
	}
	return engine.quiet, stream.quietAt == 1
}

// accept begins a stream, or refuses the generation.
func (engine *fakeEngine) accept(generation upstream.Generation) (*fakeStream, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	body := string(generation.Request.Body)
	if engine.generations != nil {
		*engine.generations++
	}
	if engine.down {
		return nil, upstream.ErrNotSent
	}
	if err := engine.generate[body]; err != nil {
		return nil, err
	}
	if engine.requiresAdapter && !slices.Contains(engine.adapters, generation.Request.Target.Adapter) {
		return nil, &upstream.RefusedError{Status: 409, Reason: "adapter not loaded"}
	}
	ran, fault := engine.drawFault()
	if engine.cannotResume && generation.ResumeAfter > 0 {
		return nil, &upstream.RefusedError{Status: 410, Reason: "cannot resume"}
	}
	if ran && generation.ResumeAfter == 0 {
		engine.recordRun(generation)
	}
	if fault != nil {
		return nil, fault
	}
	engine.active++
	engine.maxActive = max(engine.maxActive, engine.active)
	stream := &fakeStream{engine: engine, boot: engine.boot, body: body, next: generation.ResumeAfter + 1, total: engine.pieces}
	stream.cuts, stream.onSilence, stream.done = engine.cuts, generation.OnSilence, make(chan struct{})
	if generation.ResumeAfter > 0 {
		stream.next += engine.resumeShift
	}
	if generation.ResumeAfter == 0 {
		stream.breakAt, stream.breakErr, stream.quietAt = engine.breakAt, engine.breakErr, engine.quietAt
	}
	return stream, nil
}

func (engine *fakeEngine) Probe(context.Context) (string, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.down {
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

// fakeStream is one response of a fakeEngine.
type fakeStream struct {
	engine   *fakeEngine
	boot     string
	body     string
	next     int
	total    int
	breakAt  int
	breakErr error
	closed   bool
	// cuts is the value of the engine's cuts when the stream began.
	cuts int
	// quietAt is the piece before which the stream sends nothing for a while, or zero.
	quietAt   int
	onSilence func(context.Context)
	// done is closed when the stream is.
	done chan struct{}
}

// wait returns how long the next piece takes, and whether nothing is sent meanwhile, not even heartbeats.
func (stream *fakeStream) wait() (length time.Duration, silent bool) {
	engine := stream.engine
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.cuts != engine.cuts {
		return forever, true
	}
	if stream.quietAt == stream.next {
		return engine.quiet, true
	}
	if frozen := time.Until(engine.frozen); frozen > engine.gap {
		return frozen, true
	}
	return engine.gap, false
}

// pause waits for the time. It reports the silence if there is any.
func (stream *fakeStream) pause(ctx context.Context, length time.Duration, silent bool) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	silence, received := context.WithCancel(ctx)
	defer received()
	if silent && stream.onSilence != nil {
		go stream.reportSilence(silence)
	}
	select {
	case <-timer.C:
		return nil
	case <-stream.done:
		return io.ErrClosedPipe
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// reportSilence reports the silence each silenceTimeout until it ends or the stream is closed.
func (stream *fakeStream) reportSilence(silence context.Context) {
	for {
		select {
		case <-time.After(silenceTimeout):
			stream.onSilence(silence)
		case <-silence.Done():
			return
		case <-stream.done:
			return
		}
	}
}

func (stream *fakeStream) Status() int                       { return 200 }
func (stream *fakeStream) ContentType() string               { return "text/plain" }
func (stream *fakeStream) Load() (upstream.LoadReport, bool) { return upstream.LoadReport{}, false }

func (stream *fakeStream) Next(ctx context.Context) (upstream.Piece, error) {
	length, silent := stream.wait()
	if err := stream.pause(ctx, length, silent); err != nil {
		return upstream.Piece{}, err
	}
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	if stream.engine.down || stream.engine.boot != stream.boot {
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
		close(stream.done)
		stream.engine.active--
	}
	return nil
}
