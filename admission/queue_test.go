package admission

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// entry returns an entry that must start within the time.
func entry(priority int, within time.Duration, account string) *Entry {
	return NewEntry(Entry{Priority: priority, StartBy: start.Add(within), Account: account, Arrived: start})
}

// TestOrder guards against urgent, returned or hurried requests that wait behind others.
func TestOrder(t *testing.T) {
	queue := New(start)
	later, soon, urgent := entry(1, 4*time.Second, ""), entry(1, time.Second, ""), entry(0, 9*time.Second, "")
	returned := NewEntry(Entry{Priority: 1, Returned: true, StartBy: start.Add(5 * time.Second), Arrived: start})
	for _, pushed := range []*Entry{later, soon, urgent, returned} {
		queue.Push(pushed, start)
	}
	for index, want := range []*Entry{urgent, returned, soon, later} {
		if got := queue.first(start); got != want {
			t.Errorf("the request at %d is %+v, want %+v", index, got, want)
		}
		queue.Start(want, start)
	}
	if queue.Len() != 0 || queue.Blocks(9, false) {
		t.Errorf("%d requests wait afterwards", queue.Len())
	}
}

// TestFloodOfOneAccount guards against an account whose requests, all earlier, keep those of others waiting.
func TestFloodOfOneAccount(t *testing.T) {
	queue := New(start)
	for range 50 {
		queue.Push(entry(0, time.Second, "flood"), start)
	}
	for range 5 {
		queue.Push(entry(0, time.Second+time.Millisecond, "small"), start)
	}
	served := map[string]int{}
	for range 10 {
		first := queue.first(start)
		served[first.Account]++
		queue.Start(first, start)
	}
	if served["small"] < 4 {
		t.Errorf("served %v of the first ten", served)
	}
}

// TestTurnGoesOn guards against a queue that stalls: a request that cannot use the capacity, or leaves with the turn, passes it on, once.
func TestTurnGoesOn(t *testing.T) {
	queue := New(start)
	first, second, third := entry(0, 1, ""), entry(0, 2, ""), entry(0, 3, "")
	for _, pushed := range []*Entry{first, second, third} {
		queue.Push(pushed, start)
	}
	queue.Offer(start)
	queue.Pass(first, start)
	if !queue.HasTurn(second, start) {
		t.Fatal("the turn was not passed on")
	}
	queue.Remove(second, start)
	if !queue.HasTurn(first, start) {
		t.Fatal("the turn of a request that left is lost")
	}
	queue.Pass(first, start)
	queue.Pass(third, start)
	if queue.trying != nil || len(first.turn) > 0 || len(third.turn) > 0 {
		t.Error("requests go on trying without new capacity")
	}
}

// TestForecast guards against requests that are held although they will not be served in time, and refused although they will be.
func TestForecast(t *testing.T) {
	queue := New(start)
	for range 40 {
		queue.Push(entry(0, 10*time.Second, ""), start)
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		queue.Start(queue.first(now), now)
	}
	last := queue.Forecast(entry(0, 10*time.Second, ""), now)
	if !last.Moving || last.Ahead != 30 || last.Wait < 2*time.Second || last.Wait > 4*time.Second {
		t.Errorf("the forecast behind 30 requests at 10 per second is %+v", last)
	}
	if last.InTime(now, now.Add(time.Second)) || !last.InTime(now, now.Add(5*time.Second)) {
		t.Errorf("%v is taken for another time", last.Wait)
	}
	if urgent := queue.Forecast(entry(0, 0, ""), now); urgent.Ahead != 0 || !urgent.InTime(now, now) {
		t.Errorf("the first request gets %+v", urgent)
	}
}

// TestLeastShare guards against unhurried requests that get nothing, and against urgent ones that are served less often than these.
func TestLeastShare(t *testing.T) {
	queue := New(start)
	served, offered := [2]int{}, [2]int{}
	for step := range 1000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for priority := range 2 {
			offered[priority]++
			queue.Push(NewEntry(Entry{Priority: priority, StartBy: now.Add(50 * time.Millisecond), Arrived: now}), now)
		}
		for priority := range 2 {
			for queue.Waiting(priority) > 5 {
				refused := queue.classes[priority].at(0)
				queue.CountRefusal(priority, now)
				queue.Remove(refused, now)
			}
		}
		if step%2 == 0 {
			first := queue.first(now)
			served[first.Priority]++
			queue.Start(first, now)
		}
	}
	urgent, other := float64(served[0])/float64(offered[0]), float64(served[1])/float64(offered[1])
	if other < (urgent+other)/2/4 || urgent < other {
		t.Errorf("served %.2f of the urgent and %.2f of the other requests", urgent, other)
	}
}
