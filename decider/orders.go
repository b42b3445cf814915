package decider

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// attemptResult is the result of one call to an engine.
type attemptResult struct {
	// fence is the fencing number under which the call was made.
	fence    uint64
	upstream string
	order    upstream.Order
	verdict  upstream.Verdict
	// view is the state of an engine that was queried, or nil for an order.
	view *intent.View
	err  error
}

// send sends an order to an engine on a separate goroutine, and reports whether the attempt
// began.
func (decider *Decider) send(ctx context.Context, name string, order upstream.Order) bool {
	engine, known := decider.deps.Engines.Engine(name)
	if !known || decider.countInFlight() >= maxInFlight {
		return false
	}
	fence := order.Fence
	decider.inFlight[fence]++
	decider.attempts.Add(1)
	go func() {
		defer decider.attempts.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), decider.settings.OrderTimeout)
		defer cancel()
		verdict, err := engine.Send(ctx, order)
		// The queue has room for the results of all calls in flight.
		decider.results.TryPut(attemptResult{fence: fence, upstream: name, order: order, verdict: verdict, err: err})
	}()
	return true
}

func (decider *Decider) countInFlight() int {
	count := 0
	for _, orders := range decider.inFlight {
		count += orders
	}
	return count
}

func (decider *Decider) handleResults() {
	for {
		select {
		case result := <-decider.results.Items():
			decider.handleResult(result)
		default:
			return
		}
	}
}

// handleResult handles the end of a call. Results of earlier terms only update the count in
// flight.
func (decider *Decider) handleResult(result attemptResult) {
	decider.inFlight[result.fence]--
	if decider.inFlight[result.fence] == 0 {
		delete(decider.inFlight, result.fence)
	}
	if decider.term == nil || decider.term.fence != result.fence {
		return
	}
	decider.term.handleResult(result)
}

func (term *term) handleResult(result attemptResult) {
	now := term.decider.deps.Clock.Now()
	if result.view != nil && result.err == nil {
		term.handleView(*result.view)
	}
	if result.view != nil || result.order.Verb == upstream.Touch {
		return
	}
	id := result.order.ID
	switch {
	case result.err == nil:
		term.tracker.RecordVerdict(id, result.verdict, now)
		if result.verdict != upstream.Accepted || result.order.Verb != upstream.Load {
			term.recordSettled(result, now)
		}
		if result.verdict != upstream.Accepted {
			event.OrderRefused.Log("Upstream", result.upstream, "Order", id, "Verb", result.order.Verb, "Model", result.order.Model, "Verdict", result.verdict)
		}
	case errors.Is(result.err, upstream.ErrNotSent):
		term.tracker.RecordNotSent(id, now)
	default:
		term.tracker.RecordNoResponse(id, now)
		event.OrderUnanswered.LogError(result.err, "Upstream", result.upstream, "Order", id, "Verb", result.order.Verb, "Model", result.order.Model)
	}
}

// touch raises the fencing number on engines that check it and do not show it yet.
func (term *term) touch(ctx context.Context) {
	for name := range term.seen {
		view, known := term.tracker.View(name)
		if !known || !view.ChecksFencing || view.State.Fence >= term.fence {
			continue
		}
		if sent, before := term.touchedAt[name]; before && term.now.Sub(sent) < retryInterval {
			continue
		}
		order := upstream.Order{ID: term.nextID(), Verb: upstream.Touch, Fence: term.fence, BootID: view.State.BootID}
		if term.decider.send(ctx, name, order) {
			term.touchedAt[name] = term.now
		}
	}
}

// sendOpen sends each open order that was not sent yet, or whose attempts ended without a
// verdict.
func (term *term) sendOpen(ctx context.Context) {
	for _, entry := range term.tracker.Entries() {
		if term.shouldSend(entry) {
			term.sendEntry(ctx, entry)
		}
	}
}

func (term *term) shouldSend(entry *intent.Entry) bool {
	if entry.IsInFlight() || entry.IsAbandoned() || entry.Verdict != "" {
		return false
	}
	if term.tracker.Status(entry, term.now) != intent.Open {
		return false
	}
	if entry.Attempts > 0 && term.now.Sub(entry.Sent) < retryInterval {
		return false
	}
	wanted := term.isWanted(entry.Intent.Model)
	if entry.Intent.Sender != term.sender {
		return wanted && term.isInForce(entry.Intent) && term.mayTakeOver(entry.Intent.Upstream) && term.lacksReplica(entry)
	}
	if entry.Attempts >= maxUnwantedAttempts && !wanted || !term.isInForce(entry.Intent) {
		term.tracker.Abandon(entry.Intent.ID)
		return false
	}
	return true
}

// mayTakeOver reports whether orders of former holders may be sent to the engine. They may not
// if the engine reliably rejects orders with older fencing numbers: a former holder may then
// have used the memory of its rows again, and the rows end once the engine has the new fencing
// number. They may not either before a state of the engine from after the reading of the rows is
// known, since a row may have been removed and its memory used again in the meantime.
func (term *term) mayTakeOver(name string) bool {
	view, known := term.tracker.View(name)
	return known && !view.FencesReliably() && view.AsOf.After(term.recoveredAt)
}

// lacksReplica reports whether the model may have one more replica than those that are shown or
// may be in flight by orders of this process. Former holders can have left more rows than that,
// since rows of engines that were leaving were decided again elsewhere.
func (term *term) lacksReplica(entry *intent.Entry) bool {
	model, inForce := term.catalogue.Model(entry.Intent.Model)
	if !inForce {
		return false
	}
	count := 0
	for _, other := range term.tracker.Entries() {
		row := other.Intent
		if row.Verb != upstream.Load || row.Model != model.Name || row.Version != model.Version || other == entry {
			continue
		}
		if view, _ := term.tracker.View(row.Upstream); view.State.Leaving {
			continue
		}
		status := term.tracker.Status(other, term.now)
		own := row.Sender == term.sender || other.MayHaveReached()
		if status == intent.Present || status == intent.Open && own {
			count++
		}
	}
	return count < max(1, model.MaxReplicas)
}

// isInForce reports whether the model version of a load is in force; orders of other kinds
// always are.
func (term *term) isInForce(row intent.Intent) bool {
	if row.Verb != upstream.Load {
		return true
	}
	model, ok := term.catalogue.Model(row.Model)
	return ok && model.Version == row.Version
}

func (term *term) sendEntry(ctx context.Context, entry *intent.Entry) {
	order := entry.Intent.Order(term.fence)
	if term.decider.send(ctx, entry.Intent.Upstream, order) {
		term.tracker.RecordAttempt(entry.Intent.ID, term.now)
	}
}

func (term *term) newIntent(verb upstream.Verb, name, model, version string) intent.Intent {
	view, _ := term.tracker.View(name)
	return intent.Intent{
		ID:       term.nextID(),
		Upstream: name,
		BootID:   view.State.BootID,
		Verb:     verb,
		Model:    model,
		Version:  version,
		Fence:    term.fence,
		Sender:   term.sender,
	}
}

// nextID returns an identifier that is unique among the orders of all processes.
func (term *term) nextID() string {
	term.decider.serial++
	return fmt.Sprintf("%s-%d-%06d", term.sender.Process, term.fence, term.decider.serial)
}
