package decider

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// answer is the end of one attempt.
type answer struct {
	// fence is the fencing number under which it was sent.
	fence    uint64
	upstream string
	order    upstream.Order
	verdict  upstream.Verdict
	// view is the answer of an engine that was asked for its state, or nil for an order.
	view *intent.View
	err  error
}

// send gives an order to an engine on a goroutine of its own, and reports whether it began.
func (decider *Decider) send(ctx context.Context, name string, order upstream.Order) bool {
	engine, known := decider.deps.Engines.Engine(name)
	if !known || decider.countOnTheWay() >= ordersAtOnce {
		return false
	}
	fence := order.Fence
	decider.onTheWay[fence]++
	decider.senders.Add(1)
	go func() {
		defer decider.senders.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), decider.settings.OrderTimeout)
		defer cancel()
		verdict, err := engine.Send(ctx, order)
		// The ring has room for every order on its way.
		decider.answers.TryPut(answer{fence: fence, upstream: name, order: order, verdict: verdict, err: err})
	}()
	return true
}

func (decider *Decider) countOnTheWay() int {
	count := 0
	for _, orders := range decider.onTheWay {
		count += orders
	}
	return count
}

func (decider *Decider) takeAll() {
	for {
		select {
		case got := <-decider.answers.Items():
			decider.take(got)
		default:
			return
		}
	}
}

// take notes the end of an attempt.
func (decider *Decider) take(got answer) {
	decider.onTheWay[got.fence]--
	if decider.onTheWay[got.fence] == 0 {
		delete(decider.onTheWay, got.fence)
	}
	if decider.reign == nil || decider.reign.fence != got.fence {
		return
	}
	decider.reign.take(got)
}

func (reign *reign) take(got answer) {
	now := reign.decider.deps.Clock.Now()
	if got.view != nil && got.err == nil {
		reign.takeView(*got.view)
	}
	if got.view != nil || got.order.Verb == upstream.Touch {
		return
	}
	id := got.order.ID
	switch {
	case got.err == nil:
		reign.book.RecordVerdict(id, got.verdict, now)
		if got.verdict != upstream.Accepted || got.order.Verb != upstream.Load {
			reign.noteAnswer(got, now)
		}
		if got.verdict != upstream.Accepted {
			event.OrderRefused.Log("Upstream", got.upstream, "Order", id, "Verb", got.order.Verb, "Model", got.order.Model, "Verdict", got.verdict)
		}
	case errors.Is(got.err, upstream.ErrNotSent):
		reign.book.RecordNotSent(id, now)
	default:
		reign.book.RecordNoResponse(id, now)
		event.OrderUnanswered.LogError(got.err, "Upstream", got.upstream, "Order", id, "Verb", got.order.Verb, "Model", got.order.Model)
	}
}

// touch raises the fencing number on engines that check it and do not show it yet.
func (reign *reign) touch(ctx context.Context) {
	for name := range reign.met {
		view, known := reign.book.View(name)
		if !known || !view.ChecksFencing || view.State.Fence >= reign.fence {
			continue
		}
		if sent, before := reign.touched[name]; before && reign.now.Sub(sent) < defaultRetryAfter {
			continue
		}
		order := upstream.Order{ID: reign.nextID(), Verb: upstream.Touch, Fence: reign.fence, BootID: view.State.BootID}
		reign.decider.send(ctx, name, order)
		reign.touched[name] = reign.now
	}
}

// sendOpen sends each open order that has not been sent, or whose attempts ended without a verdict.
func (reign *reign) sendOpen(ctx context.Context) {
	for _, entry := range reign.book.Entries() {
		if reign.shouldSend(entry) {
			reign.sendEntry(ctx, entry)
		}
	}
}

func (reign *reign) shouldSend(entry *intent.Entry) bool {
	if entry.IsInFlight() || entry.IsAbandoned() || entry.Verdict != "" {
		return false
	}
	if reign.book.Status(entry, reign.now) != intent.Open {
		return false
	}
	if entry.Attempts > 0 && reign.now.Sub(entry.Sent) < defaultRetryAfter {
		return false
	}
	wanted := reign.isWanted(entry.Intent.Model)
	if entry.Intent.Sender != reign.sender {
		return wanted && reign.isInForce(entry.Intent) && reign.mayTakeOver(entry.Intent.Upstream) && reign.lacksReplica(entry)
	}
	if entry.Attempts >= attemptsWithout && !wanted || !reign.isInForce(entry.Intent) {
		reign.book.Abandon(entry.Intent.ID)
		return false
	}
	return true
}

// mayTakeOver reports whether the orders of former holders may be sent to the engine. They may
// not where the former holder may have used the memory of its rows again: there the engine
// closes the rows instead. Nor may they before the engine was seen since the rows were read,
// since a row may have been closed and its memory used again in the meantime.
func (reign *reign) mayTakeOver(name string) bool {
	view, known := reign.book.View(name)
	return known && !view.FencesReliably() && view.AsOf.After(reign.began)
}

// lacksReplica reports whether the model may have one more replica than those that are shown or
// may be on their way by orders of this process. Former holders can have left more rows than
// that, since rows of engines that were leaving were decided again elsewhere.
func (reign *reign) lacksReplica(entry *intent.Entry) bool {
	model, inForce := reign.catalogue.Model(entry.Intent.Model)
	if !inForce {
		return false
	}
	count := 0
	for _, other := range reign.book.Entries() {
		row := other.Intent
		if row.Verb != upstream.Load || row.Model != model.Name || row.Version != model.Version || other == entry {
			continue
		}
		if view, _ := reign.book.View(row.Upstream); view.State.Leaving {
			continue
		}
		status := reign.book.Status(other, reign.now)
		mine := row.Sender == reign.sender || other.MayHaveReached()
		if status == intent.Present || status == intent.Open && mine {
			count++
		}
	}
	return count < max(1, model.MaxReplicas)
}

// isInForce reports whether the subject of a load is in force; other orders always are.
func (reign *reign) isInForce(row intent.Intent) bool {
	if row.Verb != upstream.Load {
		return true
	}
	model, ok := reign.catalogue.Model(row.Model)
	return ok && model.Version == row.Version
}

func (reign *reign) sendEntry(ctx context.Context, entry *intent.Entry) {
	order := entry.Intent.Order(reign.fence)
	if reign.decider.send(ctx, entry.Intent.Upstream, order) {
		reign.book.RecordAttempt(entry.Intent.ID, reign.now)
	}
}

func (reign *reign) newIntent(verb upstream.Verb, name, model, version string) intent.Intent {
	view, _ := reign.book.View(name)
	return intent.Intent{
		ID:       reign.nextID(),
		Upstream: name,
		BootID:   view.State.BootID,
		Verb:     verb,
		Model:    model,
		Version:  version,
		Fence:    reign.fence,
		Sender:   reign.sender,
	}
}

// nextID returns an identifier that no other order ever has.
func (reign *reign) nextID() string {
	reign.decider.serial++
	return fmt.Sprintf("%s-%d-%06d", reign.sender.Process, reign.fence, reign.decider.serial)
}
