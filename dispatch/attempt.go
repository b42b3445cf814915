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

// attempt runs the request on the reserved upstream and releases the reservation.
func (handler *handler) attempt(ctx context.Context, reservation *reservation) result {
	unreserve, ok := handler.reserve(ctx, reservation)
	if !ok {
		handler.dispatcher.release(reservation, false)
		return result{failure: outcome.New(outcome.UpstreamRefused, "another suspect runs on the upstream"), notRun: true, busy: true}
	}
	defer unreserve()
	attemptResult := handler.runOn(ctx, reservation)
	handler.dispatcher.release(reservation, attemptResult.failure == nil)
	return attemptResult
}

// runOn prepares and runs the request on the reserved upstream.
func (handler *handler) runOn(ctx context.Context, reservation *reservation) result {
	if attemptResult, done := handler.claim(ctx, reservation); done {
		return attemptResult
	}
	ctx, cancel := handler.attemptContext(ctx)
	defer cancel()
	start := handler.startTimeout(ctx, reservation)
	defer start.stop()
	ctx = start.ctx
	handler.attempts++
	if handler.attempts == 1 {
		handler.dispatcher.budget.Earn()
	}
	if onAttempt := handler.dispatcher.deps.OnAttempt; onAttempt != nil {
		onAttempt(&handler.req, handler.attempts)
	}
	release, err := handler.loadAdapter(ctx, reservation)
	if err != nil {
		return handler.classify(ctx, reservation, err)
	}
	defer release()
	if !handler.dispatcher.stillServes(reservation) {
		return handler.classify(ctx, reservation, &upstream.RefusedError{Reason: "leaving"})
	}
	handler.dispatcher.assertServes(reservation)
	if handler.req.Form == request.ServiceCall {
		return handler.call(ctx, reservation)
	}
	return handler.generate(ctx, reservation, start.begun)
}

// generate runs the generation and relays its output. After a silent connection it resumes over a new one.
func (handler *handler) generate(ctx context.Context, reservation *reservation, begun func()) result {
	dispatcher := handler.dispatcher
	name := reservation.candidate.Upstream
	generator, ok := dispatcher.deps.Engines.Generator(name)
	if !ok {
		return handler.classify(ctx, reservation, upstream.ErrNotSent)
	}
	if err := handler.importExported(ctx, generator); err != nil {
		return handler.classify(ctx, reservation, err)
	}
	var old upstream.Stream
	for resumes := 0; ; resumes++ {
		stream, err := generator.Generate(ctx, handler.generation(reservation, resumes))
		closeStream(old)
		if err == nil {
			handler.resumeDeadline = time.Time{}
			dispatcher.recordLoad(name, stream)
			err = handler.relay(ctx, stream, reservation, begun)
			dispatcher.recordLoad(name, stream)
		}
		if err == nil {
			closeStream(stream)
			return handler.recordSuccess(reservation)
		}
		if errors.Is(err, errMigrate) {
			closeStream(stream)
			return result{migrated: true}
		}
		if !errors.Is(err, upstream.ErrSilent) || !handler.resumable(ctx, reservation, resumes) {
			closeStream(stream)
			return handler.classify(ctx, reservation, err)
		}
		handler.recordSilence(err)
		event.StreamResumed.Log("Request", handler.req.ID, "Upstream", name, "After", handler.last)
		old = stream
	}
}

// recordSilence records that the upstream may have run part of the request before its connection went silent.
func (handler *handler) recordSilence(err error) {
	handler.mayHaveRun = true
	handler.uncertainFailure = outcome.New(outcome.UpstreamLost, "the connection to the upstream went silent").WithCause(err)
}

// recordLoad passes the load that the upstream reported with its response to the router.
func (dispatcher *Dispatcher) recordLoad(name string, stream upstream.Stream) {
	if load, known := stream.Load(); known {
		dispatcher.router.Report(name, load.Running, load.Waiting)
	}
}

// generation returns the upstream request of this attempt.
func (handler *handler) generation(reservation *reservation, resumes int) upstream.Generation {
	return upstream.Generation{
		Request:     handler.req,
		Version:     reservation.candidate.Version,
		Attempt:     handler.attempts + resumes,
		ResumeAfter: handler.last,
	}
}

// recordSuccess records a complete response.
func (handler *handler) recordSuccess(reservation *reservation) result {
	handler.dispatcher.router.Succeeded(reservation.candidate.Upstream)
	handler.dispatcher.registry.Clear(handler.req.Fingerprint)
	handler.dispatcher.completed.Add(handler.req.Fingerprint)
	return result{}
}

// maxResumes is the number of additional connections that one attempt may use.
const maxResumes = 3

// resumable reports whether the attempt may continue over a new connection to the same boot of the engine. If
// no piece was received, resuming restarts the request, so that it must be idempotent.
func (handler *handler) resumable(ctx context.Context, reservation *reservation, resumes int) bool {
	if resumes >= maxResumes || !handler.req.Idempotent || ctx.Err() != nil {
		return false
	}
	boot := handler.dispatcher.probe(ctx, reservation.candidate.Upstream)
	return boot != "" && (reservation.candidate.BootID == "" || boot == reservation.candidate.BootID)
}

// closeStream closes the stream unless it is nil. The error is ignored, since the result is already known.
func closeStream(stream upstream.Stream) {
	if stream != nil {
		_ = stream.Close()
	}
}

// relay sends the response to the sink. It returns nil after a complete response.
func (handler *handler) relay(ctx context.Context, stream upstream.Stream, reservation *reservation, begun func()) error {
	if handler.req.Stream && stream.Status() < firstErrorStatus {
		return handler.relayPieces(ctx, stream, reservation, begun)
	}
	body, err := handler.collect(ctx, stream, begun)
	if err != nil {
		return err
	}
	return handler.sendResponse(stream.Status(), stream.ContentType(), body)
}

// collect returns the whole response body, up to Settings.MaxResponseBytes.
func (handler *handler) collect(ctx context.Context, stream upstream.Stream, begun func()) ([]byte, error) {
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
		if len(body) > handler.dispatcher.settings.MaxResponseBytes {
			return nil, outcome.New(outcome.AnswerInvalid, "the answer is larger than allowed")
		}
	}
}

// sendResponse writes a complete response to the sink.
func (handler *handler) sendResponse(status int, contentType string, body []byte) error {
	if err := handler.sink.Begin(status, contentType); err != nil {
		return errSink
	}
	if err := handler.sink.Chunk(body); err != nil {
		return errSink
	}
	return nil
}
