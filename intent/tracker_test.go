package intent

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

const orderLifetime = 30 * time.Second

var (
	start = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	self  = Sender{VM: "entry-1", Process: "p1", Reign: 2}
	other = Sender{VM: "entry-2", Process: "p2", Reign: 1}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// viewAt returns a view of the engine at a time, with the replicas of the models.
func viewAt(seconds int, bootID string, fence uint64, checksFencing, checksBoot bool, models ...string) View {
	view := View{AsOf: at(seconds), ChecksFencing: checksFencing, ChecksBoot: checksBoot}
	view.State = upstream.State{Upstream: "u", BootID: bootID, Fence: fence, Capacity: 100, Sequence: uint64(seconds)}
	for _, model := range models {
		view.State.Replicas = append(view.State.Replicas, upstream.Replica{Model: model, Version: "1", Phase: upstream.Ready, Memory: 10})
	}
	return view
}

func newIntent(id, model string, sender Sender) Intent {
	return Intent{ID: id, Upstream: "u", BootID: "b1", Verb: upstream.Load, Model: model, Version: "1", Memory: 10, Fence: sender.Reign, Sender: sender}
}

func TestStatus(t *testing.T) {
	tests := []struct {
		name   string
		sender Sender
		// prepare changes the state of the intent, which was read or decided at second 0.
		prepare func(tracker *Tracker)
		view    View
		// now is the second for which the status is computed.
		now  int
		want Status
	}{
		{"own, not sent", self, func(*Tracker) {}, viewAt(90, "b1", 0, false, false), 90, Open},
		{"own, in flight", self, func(tracker *Tracker) { tracker.RecordAttempt("i", at(1)) }, viewAt(90, "b1", 0, false, false), 90, Open},
		{"own, refused, older view", self, answered(upstream.NoMemory, 5), viewAt(4, "b1", 0, false, false), 90, Open},
		{"own, refused, newer view", self, answered(upstream.NoMemory, 5), viewAt(6, "b1", 0, false, false), 90, Closed},
		{"own, accepted, present", self, answered(upstream.Accepted, 5), viewAt(6, "b1", 0, false, false, "m"), 90, Present},
		{"own, unanswered, within the order lifetime", self, unanswered(5), viewAt(34, "b1", 0, false, false), 34, Open},
		{"own, unanswered and then refused, within the order lifetime", self, func(tracker *Tracker) {
			unanswered(5)(tracker)
			answered(upstream.NoMemory, 7)(tracker)
		}, viewAt(34, "b1", 0, false, false), 34, Open},
		{"own, unanswered, abandoned, after the order lifetime", self, func(tracker *Tracker) {
			unanswered(5)(tracker)
			tracker.Abandon("i")
		}, viewAt(36, "b1", 0, false, false), 36, Closed},
		{"own, never reached, abandoned", self, func(tracker *Tracker) {
			tracker.RecordAttempt("i", at(1))
			tracker.RecordNotSent("i", at(2))
			tracker.Abandon("i")
		}, View{}, 3, Closed},
		{"other process, sender may be running", other, func(*Tracker) {}, viewAt(900, "b1", 0, false, false), 900, Open},
		{"other process, sender ended, within the order lifetime", other, senderEnded(10), viewAt(39, "b1", 0, false, false), 39, Open},
		{"other process, sender ended, view from within the order lifetime", other, senderEnded(10), viewAt(39, "b1", 0, false, false), 60, Open},
		{"other process, sender ended, after the order lifetime", other, senderEnded(10), viewAt(41, "b1", 0, false, false), 41, Closed},
		{"other process, higher fencing number and boots checked", other, func(*Tracker) {}, viewAt(1, "b1", 2, true, true), 1, Closed},
		{"other process, higher fencing number, boots not checked", other, func(*Tracker) {}, viewAt(1, "b1", 2, true, false), 1, Open},
		{"other process, same fencing number", other, func(*Tracker) {}, viewAt(1, "b1", 1, true, true), 1, Open},
		{"other process, view from before the rows were read", other, func(*Tracker) {}, viewAt(0, "b1", 2, true, true), 1, Open},
		{"other process, other boot, boots checked", other, func(*Tracker) {}, viewAt(1, "b2", 0, false, true), 1, Closed},
		{"other process, other boot, boots not checked", other, func(*Tracker) {}, viewAt(1, "b2", 0, true, false), 1, Open},
		{"own attempt for a row of another process within the order lifetime", other, unanswered(5), viewAt(30, "b1", 2, true, true), 30, Open},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker(self, orderLifetime)
			entry := tracker.Add(newIntent("i", "m", test.sender), true, start)
			test.prepare(tracker)
			if !test.view.AsOf.IsZero() {
				tracker.Observe(test.view)
			}
			if got := tracker.Status(entry, at(test.now)); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
		})
	}
}

func answered(verdict upstream.Verdict, seconds int) func(tracker *Tracker) {
	return func(tracker *Tracker) {
		tracker.RecordAttempt("i", at(seconds-1))
		tracker.RecordVerdict("i", verdict, at(seconds))
	}
}

func unanswered(seconds int) func(tracker *Tracker) {
	return func(tracker *Tracker) {
		tracker.RecordAttempt("i", at(seconds-1))
		tracker.RecordNoResponse("i", at(seconds))
	}
}

func senderEnded(seconds int) func(tracker *Tracker) {
	return func(tracker *Tracker) { tracker.MarkSenderEnded(other, at(seconds)) }
}

func TestChargedMemory(t *testing.T) {
	tracker := NewTracker(self, orderLifetime)
	tracker.Observe(viewAt(1, "b1", 0, true, true, "shown", "unknown"))
	tracker.Add(newIntent("1", "shown", self), true, start)
	tracker.Add(newIntent("2", "shown", other), true, start)
	tracker.Add(newIntent("3", "open", other), true, start)
	if got := tracker.ChargedMemory("u", at(1)); got != 30 {
		t.Errorf("charge %d, want each of three replicas charged once", got)
	}
	tracker.AddBudget(Budget{Fence: 1, Sender: other, Shares: []Share{{Upstream: "u", BootID: "b1", Memory: 25}}}, start)
	if got := tracker.ChargedMemory("u", at(1)); got != 55 {
		t.Errorf("charge %d, want the open budget added", got)
	}
	withinBudget := newIntent("4", "unknown", self)
	withinBudget.Budget = 1
	tracker.Add(withinBudget, false, start)
	if got := tracker.ChargedMemory("u", at(1)); got != 45 {
		t.Errorf("charge %d, want a replica of the budget charged once", got)
	}
	tracker.Observe(viewAt(2, "b1", 2, true, true, "shown", "unknown"))
	if got := tracker.ChargedMemory("u", at(2)); got != 20 {
		t.Errorf("charge %d, want nothing charged for orders and budgets closed by a higher fencing number", got)
	}
}
