package intent

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

const linger = 30 * time.Second

var (
	start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	me    = Sender{VM: "entry-1", Process: "p1", Reign: 2}
	other = Sender{VM: "entry-2", Process: "p2", Reign: 1}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// seen returns a view of the engine at a time, with the replicas of the models.
func seen(seconds int, bootID string, fence uint64, checksFencing, checksBoot bool, models ...string) View {
	view := View{AsOf: at(seconds), ChecksFencing: checksFencing, ChecksBoot: checksBoot}
	view.State = upstream.State{Upstream: "u", BootID: bootID, Fence: fence, Capacity: 100, Sequence: uint64(seconds)}
	for _, model := range models {
		view.State.Replicas = append(view.State.Replicas, upstream.Replica{Model: model, Version: "1", Phase: upstream.Ready, Memory: 10})
	}
	return view
}

func row(id, model string, sender Sender) Intent {
	return Intent{ID: id, Upstream: "u", BootID: "b1", Verb: upstream.Load, Model: model, Version: "1", Memory: 10, Fence: sender.Reign, Sender: sender}
}

func TestStatus(t *testing.T) {
	tests := []struct {
		name   string
		sender Sender
		// happen is what happens to the intent, read or decided at second 0.
		happen func(book *Tracker)
		view   View
		// now is the second at which the status is asked for.
		now  int
		want Status
	}{
		{"own, not sent", me, func(*Tracker) {}, seen(90, "b1", 0, false, false), 90, Open},
		{"own, on its way", me, func(book *Tracker) { book.RecordAttempt("i", at(1)) }, seen(90, "b1", 0, false, false), 90, Open},
		{"own, refused, older view", me, answered(upstream.NoMemory, 5), seen(4, "b1", 0, false, false), 90, Open},
		{"own, refused, newer view", me, answered(upstream.NoMemory, 5), seen(6, "b1", 0, false, false), 90, Closed},
		{"own, accepted, shown", me, answered(upstream.Accepted, 5), seen(6, "b1", 0, false, false, "m"), 90, Present},
		{"own, unanswered, within the linger", me, unanswered(5), seen(34, "b1", 0, false, false), 34, Open},
		{"own, unanswered and then refused, within the linger", me, func(book *Tracker) {
			unanswered(5)(book)
			answered(upstream.NoMemory, 7)(book)
		}, seen(34, "b1", 0, false, false), 34, Open},
		{"own, unanswered, given up, after the linger", me, func(book *Tracker) {
			unanswered(5)(book)
			book.Abandon("i")
		}, seen(36, "b1", 0, false, false), 36, Closed},
		{"own, never reached, given up", me, func(book *Tracker) {
			book.RecordAttempt("i", at(1))
			book.RecordNotSent("i", at(2))
			book.Abandon("i")
		}, View{}, 3, Closed},
		{"foreign, sender may live", other, func(*Tracker) {}, seen(900, "b1", 0, false, false), 900, Open},
		{"foreign, sender gone, within the linger", other, gone(10), seen(39, "b1", 0, false, false), 39, Open},
		{"foreign, sender gone, view from within the linger", other, gone(10), seen(39, "b1", 0, false, false), 60, Open},
		{"foreign, sender gone, after the linger", other, gone(10), seen(41, "b1", 0, false, false), 41, Closed},
		{"foreign, higher fencing number and boots checked", other, func(*Tracker) {}, seen(1, "b1", 2, true, true), 1, Closed},
		{"foreign, higher fencing number, boots not checked", other, func(*Tracker) {}, seen(1, "b1", 2, true, false), 1, Open},
		{"foreign, same fencing number", other, func(*Tracker) {}, seen(1, "b1", 1, true, true), 1, Open},
		{"foreign, view from before the rows were read", other, func(*Tracker) {}, seen(0, "b1", 2, true, true), 1, Open},
		{"foreign, other boot, boots checked", other, func(*Tracker) {}, seen(1, "b2", 0, false, true), 1, Closed},
		{"foreign, other boot, boots not checked", other, func(*Tracker) {}, seen(1, "b2", 0, true, false), 1, Open},
		{"own attempt for a foreign row within the linger", other, unanswered(5), seen(30, "b1", 2, true, true), 30, Open},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			book := NewTracker(me, linger)
			entry := book.Add(row("i", "m", test.sender), true, start)
			test.happen(book)
			if !test.view.AsOf.IsZero() {
				book.Observe(test.view)
			}
			if got := book.Status(entry, at(test.now)); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
		})
	}
}

func answered(verdict upstream.Verdict, seconds int) func(book *Tracker) {
	return func(book *Tracker) {
		book.RecordAttempt("i", at(seconds-1))
		book.RecordVerdict("i", verdict, at(seconds))
	}
}

func unanswered(seconds int) func(book *Tracker) {
	return func(book *Tracker) {
		book.RecordAttempt("i", at(seconds-1))
		book.RecordNoResponse("i", at(seconds))
	}
}

func gone(seconds int) func(book *Tracker) {
	return func(book *Tracker) { book.MarkSenderEnded(other, at(seconds)) }
}

func TestCharge(t *testing.T) {
	book := NewTracker(me, linger)
	book.Observe(seen(1, "b1", 0, true, true, "shown", "unknown"))
	book.Add(row("1", "shown", me), true, start)
	book.Add(row("2", "shown", other), true, start)
	book.Add(row("3", "open", other), true, start)
	if got := book.ChargedMemory("u", at(1)); got != 30 {
		t.Errorf("charge %d, want each of three replicas once", got)
	}
	book.AddBudget(Budget{Fence: 1, Sender: other, Shares: []Share{{Upstream: "u", BootID: "b1", Memory: 25}}}, start)
	if got := book.ChargedMemory("u", at(1)); got != 55 {
		t.Errorf("charge %d, want the open budget on top", got)
	}
	within := row("4", "unknown", me)
	within.Budget = 1
	book.Add(within, false, start)
	if got := book.ChargedMemory("u", at(1)); got != 45 {
		t.Errorf("charge %d, want a replica of the budget charged once", got)
	}
	book.Observe(seen(2, "b1", 2, true, true, "shown", "unknown"))
	if got := book.ChargedMemory("u", at(2)); got != 20 {
		t.Errorf("charge %d, want what a higher fencing number closed to be free", got)
	}
}
