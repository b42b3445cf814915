package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

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
