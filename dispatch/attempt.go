package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// attempt runs the request on the place and gives the place back.
func (journey *journey) attempt(ctx context.Context, place *place) result {
	free, ok := journey.reserve(ctx, place)
	if !ok {
		journey.dispatcher.release(place, false)
		return result{failure: outcome.New(outcome.UpstreamRefused, "another suspect runs on the upstream"), notRun: true, busy: true}
	}
	defer free()
	ending := journey.onPlace(ctx, place)
	journey.dispatcher.release(place, ending.failure == nil)
	return ending
}

// onPlace prepares and runs the request on the upstream of the place.
func (journey *journey) onPlace(ctx context.Context, place *place) result {
	if ending, done := journey.claim(ctx, place); done {
		return ending
	}
	ctx, free := journey.outlive(ctx)
	defer free()
	start := journey.startLimit(ctx, place)
	defer start.stop()
	ctx = start.ctx
	journey.attempts++
	if journey.attempts == 1 {
		journey.dispatcher.budget.Deposit()
	}
	if sent := journey.dispatcher.deps.Sent; sent != nil {
		sent(&journey.req, journey.attempts)
	}
	release, err := journey.loadAdapter(ctx, place)
	if err != nil {
		return journey.judge(ctx, place, err)
	}
	defer release()
	if !journey.dispatcher.stillServes(place) {
		return journey.judge(ctx, place, &upstream.RefusedError{Reason: "leaving"})
	}
	journey.dispatcher.assertServes(place)
	if journey.req.API == request.ServiceCall {
		return journey.call(ctx, place)
	}
	return journey.generate(ctx, place, start.begun)
}

// generate runs the generation and relays its answer, over several connections if one goes silent.
func (journey *journey) generate(ctx context.Context, place *place, begun func()) result {
	dispatcher := journey.dispatcher
	name := place.candidate.Upstream
	generator, ok := dispatcher.deps.Engines.Generator(name)
	if !ok {
		return journey.judge(ctx, place, upstream.ErrNotSent)
	}
	if err := journey.take(ctx, generator); err != nil {
		return journey.judge(ctx, place, err)
	}
	var old upstream.Stream
	for resumes := 0; ; resumes++ {
		stream, err := generator.Generate(ctx, journey.generation(place, resumes))
		closeStream(old)
		if err == nil {
			journey.resumeBy = time.Time{}
			dispatcher.heard(name, stream)
			err = journey.relay(ctx, stream, place, begun)
			dispatcher.heard(name, stream)
		}
		if err == nil {
			closeStream(stream)
			return journey.answered(place)
		}
		if errors.Is(err, errMove) {
			closeStream(stream)
			return result{moved: true}
		}
		if !errors.Is(err, upstream.ErrStalled) || !journey.resumable(ctx, place, resumes) {
			closeStream(stream)
			return journey.judge(ctx, place, err)
		}
		journey.silent(err)
		event.StreamResumed.Log("Request", journey.req.ID, "Upstream", name, "After", journey.last)
		old = stream
	}
}

// silent notes that the upstream may have run a part of the request before its connection went silent.
func (journey *journey) silent(err error) {
	journey.mayHaveRun = true
	journey.doubt = outcome.New(outcome.UpstreamLost, "the connection to the upstream went silent").WithCause(err)
}

// heard notes the load that came with the answer of the upstream.
func (dispatcher *Dispatcher) heard(name string, stream upstream.Stream) {
	if load, known := stream.Load(); known {
		dispatcher.router.Report(name, load.Running, load.Waiting)
	}
}

// generation returns the attempt to send.
func (journey *journey) generation(place *place, resumes int) upstream.Generation {
	return upstream.Generation{
		Request:     journey.req,
		Version:     place.candidate.Version,
		Attempt:     journey.attempts + resumes,
		ResumeAfter: journey.last,
	}
}

// answered notes a complete answer.
func (journey *journey) answered(place *place) result {
	journey.dispatcher.router.Succeeded(place.candidate.Upstream)
	journey.dispatcher.book.Clear(journey.req.Fingerprint)
	journey.dispatcher.proven.Add(journey.req.Fingerprint)
	return result{}
}

// maxResumes is the number of fresh connections that one attempt may use.
const maxResumes = 3

// resumable reports whether the attempt may go on over a fresh connection to the same boot. Without a
// piece seen a resumption starts the request anew, so that only an idempotent one may do it.
func (journey *journey) resumable(ctx context.Context, place *place, resumes int) bool {
	if resumes >= maxResumes || !journey.req.Idempotent || ctx.Err() != nil {
		return false
	}
	boot := journey.dispatcher.probe(ctx, place.candidate.Upstream)
	return boot != "" && (place.candidate.BootID == "" || boot == place.candidate.BootID)
}

// closeStream closes a stream if there is one. What it says no longer matters.
func closeStream(stream upstream.Stream) {
	if stream != nil {
		_ = stream.Close()
	}
}

// relay passes the answer on. It returns nil after a complete answer.
func (journey *journey) relay(ctx context.Context, stream upstream.Stream, place *place, begun func()) error {
	if journey.req.Stream && stream.Status() < firstErrorStatus {
		return journey.relayPieces(ctx, stream, place, begun)
	}
	body, err := journey.collect(ctx, stream, begun)
	if err != nil {
		return err
	}
	return journey.whole(stream.Status(), stream.ContentType(), body)
}

// collect returns the whole body of an answer.
func (journey *journey) collect(ctx context.Context, stream upstream.Stream, begun func()) ([]byte, error) {
	var body []byte
	for {
		piece, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		begun()
		body = append(body, piece.Data...)
		if len(body) > journey.dispatcher.settings.AnswerBytes {
			return nil, outcome.New(outcome.AnswerInvalid, "the answer is larger than allowed")
		}
	}
}

// whole sends a complete answer.
func (journey *journey) whole(status int, contentType string, body []byte) error {
	if err := journey.sink.Begin(status, contentType); err != nil {
		return errSink
	}
	if err := journey.sink.Chunk(body); err != nil {
		return errSink
	}
	return nil
}
