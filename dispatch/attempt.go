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
func (transaction *transaction) attempt(ctx context.Context, reservation *reservation) result {
	unreserve, ok := transaction.reserve(ctx, reservation)
	if !ok {
		transaction.dispatcher.release(reservation, false)
		return result{failure: outcome.New(outcome.UpstreamRefused, "another suspect runs on the upstream"), notRun: true, busy: true}
	}
	defer unreserve()
	attemptResult := transaction.runOn(ctx, reservation)
	transaction.dispatcher.release(reservation, attemptResult.failure == nil)
	return attemptResult
}

// runOn prepares and runs the request on the reserved upstream.
func (transaction *transaction) runOn(ctx context.Context, reservation *reservation) result {
	if attemptResult, done := transaction.claim(ctx, reservation); done {
		return attemptResult
	}
	ctx, cancel := transaction.attemptContext(ctx)
	defer cancel()
	start := transaction.startTimeout(ctx, reservation)
	defer start.stop()
	ctx = start.ctx
	transaction.attempts++
	if transaction.attempts == 1 {
		transaction.dispatcher.budget.Deposit()
	}
	if onAttempt := transaction.dispatcher.deps.OnAttempt; onAttempt != nil {
		onAttempt(&transaction.req, transaction.attempts)
	}
	release, err := transaction.loadAdapter(ctx, reservation)
	if err != nil {
		return transaction.classify(ctx, reservation, err)
	}
	defer release()
	if !transaction.dispatcher.stillServes(reservation) {
		return transaction.classify(ctx, reservation, &upstream.RefusedError{Reason: "leaving"})
	}
	transaction.dispatcher.assertServes(reservation)
	if transaction.req.API == request.ServiceCall {
		return transaction.call(ctx, reservation)
	}
	return transaction.generate(ctx, reservation, start.begun)
}

// generate runs the generation and relays its output. After a stalled connection it resumes over a new one.
func (transaction *transaction) generate(ctx context.Context, reservation *reservation, begun func()) result {
	dispatcher := transaction.dispatcher
	name := reservation.candidate.Upstream
	generator, ok := dispatcher.deps.Engines.Generator(name)
	if !ok {
		return transaction.classify(ctx, reservation, upstream.ErrNotSent)
	}
	if err := transaction.importExported(ctx, generator); err != nil {
		return transaction.classify(ctx, reservation, err)
	}
	var old upstream.Stream
	for resumes := 0; ; resumes++ {
		stream, err := generator.Generate(ctx, transaction.generation(reservation, resumes))
		closeStream(old)
		if err == nil {
			transaction.resumeDeadline = time.Time{}
			dispatcher.recordLoad(name, stream)
			err = transaction.relay(ctx, stream, reservation, begun)
			dispatcher.recordLoad(name, stream)
		}
		if err == nil {
			closeStream(stream)
			return transaction.recordSuccess(reservation)
		}
		if errors.Is(err, errMigrate) {
			closeStream(stream)
			return result{migrated: true}
		}
		if !errors.Is(err, upstream.ErrStalled) || !transaction.resumable(ctx, reservation, resumes) {
			closeStream(stream)
			return transaction.classify(ctx, reservation, err)
		}
		transaction.recordStall(err)
		event.StreamResumed.Log("Request", transaction.req.ID, "Upstream", name, "After", transaction.last)
		old = stream
	}
}

// recordStall records that the upstream may have run part of the request before its connection stalled.
func (transaction *transaction) recordStall(err error) {
	transaction.mayHaveRun = true
	transaction.uncertainFailure = outcome.New(outcome.UpstreamLost, "the connection to the upstream went silent").WithCause(err)
}

// recordLoad passes the load that the upstream reported with its response to the router.
func (dispatcher *Dispatcher) recordLoad(name string, stream upstream.Stream) {
	if load, known := stream.Load(); known {
		dispatcher.router.RecordLoad(name, load.Running, load.Waiting)
	}
}

// generation returns the upstream request of this attempt.
func (transaction *transaction) generation(reservation *reservation, resumes int) upstream.Generation {
	return upstream.Generation{
		Request:     transaction.req,
		Version:     reservation.candidate.Version,
		Attempt:     transaction.attempts + resumes,
		ResumeAfter: transaction.last,
	}
}

// recordSuccess records a complete response.
func (transaction *transaction) recordSuccess(reservation *reservation) result {
	transaction.dispatcher.router.RecordSuccess(reservation.candidate.Upstream)
	transaction.dispatcher.registry.Clear(transaction.req.Fingerprint)
	transaction.dispatcher.completed.Add(transaction.req.Fingerprint)
	return result{}
}

// maxResumes is the number of additional connections that one attempt may use.
const maxResumes = 3

// resumable reports whether the attempt may continue over a new connection to the same boot of the engine. If
// no piece was received, resuming restarts the request, so that it must be idempotent.
func (transaction *transaction) resumable(ctx context.Context, reservation *reservation, resumes int) bool {
	if resumes >= maxResumes || !transaction.req.Idempotent || ctx.Err() != nil {
		return false
	}
	boot := transaction.dispatcher.probe(ctx, reservation.candidate.Upstream)
	return boot != "" && (reservation.candidate.BootID == "" || boot == reservation.candidate.BootID)
}

// closeStream closes the stream unless it is nil. The error is ignored, since the result is already known.
func closeStream(stream upstream.Stream) {
	if stream != nil {
		_ = stream.Close()
	}
}

// relay sends the response to the sink. It returns nil after a complete response.
func (transaction *transaction) relay(ctx context.Context, stream upstream.Stream, reservation *reservation, begun func()) error {
	if transaction.req.Stream && stream.Status() < firstErrorStatus {
		return transaction.relayPieces(ctx, stream, reservation, begun)
	}
	body, err := transaction.collect(ctx, stream, begun)
	if err != nil {
		return err
	}
	return transaction.sendResponse(stream.Status(), stream.ContentType(), body)
}

// collect returns the whole response body, up to Settings.MaxResponseBytes.
func (transaction *transaction) collect(ctx context.Context, stream upstream.Stream, begun func()) ([]byte, error) {
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
		if len(body) > transaction.dispatcher.settings.MaxResponseBytes {
			return nil, outcome.New(outcome.AnswerInvalid, "the answer is larger than allowed")
		}
	}
}

// sendResponse writes a complete response to the sink.
func (transaction *transaction) sendResponse(status int, contentType string, body []byte) error {
	if err := transaction.sink.Begin(status, contentType); err != nil {
		return errSink
	}
	if err := transaction.sink.Chunk(body); err != nil {
		return errSink
	}
	return nil
}
