package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

func TestRequestOutcomes(t *testing.T) {
	broken := errors.New("reset")
	for name, test := range map[string]struct {
		path  string
		steps []step
		sends int
		body  string
		kind  outcome.Kind
	}{
		"answered":                             {"/once/x", []step{ok("yes")}, 1, "yes", -1},
		"lost call is not retried":             {"/once/x", []step{lost, ok("yes")}, 1, "", outcome.UpstreamLost},
		"rejected call is retried":             {"/once/x", []step{rejected(false), ok("yes")}, 2, "yes", -1},
		"unsent call is retried":               {"/once/x", []step{{err: exchange.ErrNotSent}, ok("yes")}, 2, "yes", -1},
		"truncated call is not retried":        {"/once/x", []step{answered(200, "ye", broken), ok("yes")}, 1, "", outcome.UpstreamLost},
		"failure of a call is passed on":       {"/once/x", []step{answered(500, "no", io.EOF), ok("yes")}, 1, "no", -1},
		"lost lookup is retried":               {"/again/x", []step{lost, ok("yes")}, 2, "yes", -1},
		"lookup runs twice at most":            {"/again/x", []step{lost, lost, ok("yes")}, 2, "", outcome.UpstreamLost},
		"failed lookup is retried":             {"/again/x", []step{answered(500, "no", io.EOF), ok("yes")}, 2, "yes", -1},
		"second failure is passed on":          {"/again/x", []step{answered(500, "no", io.EOF), answered(500, "no2", io.EOF)}, 2, "no2", -1},
		"failure is preferred to a lost retry": {"/again/x", []step{answered(500, "no", io.EOF), lost}, 2, "no", -1},
		"stalled lookup is retried elsewhere":  {"/again/x", []step{{noResponse: true}, ok("yes")}, 2, "yes", -1},
		"stalled call waits for its deadline":  {"/once/x", []step{{noResponse: true}, ok("yes")}, 1, "", outcome.DeadlineRunning},
		"stream":                               {"/stream/x", []step{ok(events(1, 3))}, 1, events(1, 3), -1},
		"broken stream is not resumed":         {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(1, 3))}, 1, events(1, 2), outcome.UpstreamLost},
		"partial event is not a valid end":     {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", io.EOF)}, 1, events(1, 2), outcome.UpstreamLost},
		"resumable stream is resumed":          {"/resume/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(3, 4))}, 2, events(1, 4), -1},
		"resumed stream repeats no event":      {"/resume/x", []step{answered(200, events(1, 2), broken), ok(events(1, 4))}, 2, events(1, 4), -1},
		"rejected stream is retried":           {"/stream/x", []step{rejected(false), ok(events(1, 2))}, 2, events(1, 2), -1},
		"unknown path":                         {"/none/x", nil, 0, "", outcome.UnknownPath},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.steps...)
				failure := fixture.serve(t.Context(), test.path)
				kind := outcome.Kind(-1)
				if failure != nil {
					kind = failure.Kind
				}
				if kind != test.kind || fixture.client.body.String() != test.body || len(fixture.upstream.attempts) != test.sends {
					t.Errorf("ended as %v after %d attempts with %q", failure, len(fixture.upstream.attempts), fixture.client.body.String())
				}
			})
		})
	}
}

func TestUnsignedSuccessIsInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forged := ok("yes")
		forged.reply.Signed = false
		fixture := newFixture(forged)
		if failure := fixture.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.AnswerInvalid || fixture.client.Begun() {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestResumedStreamSendsTheLastEventID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(answered(200, events(1, 2), errors.New("reset")), ok(events(3, 3)))
		if failure := fixture.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		if got := fixture.upstream.attempts[1].ResumeAfter; got != exchange.NewEventID(2) {
			t.Errorf("resumed after %v, want 2", got)
		}
		if fixture.upstream.attempts[0].Replica == fixture.upstream.attempts[1].Replica {
			t.Error("resumed at the replica that failed")
		}
	})
}

func TestBudgetShrinksWithEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(step{noResponse: true}, ok("yes"))
		if failure := fixture.serve(t.Context(), "/again/x"); failure != nil {
			t.Fatal(failure)
		}
		first, second := fixture.upstream.attempts[0].Budget, fixture.upstream.attempts[1].Budget
		if first != 2*time.Second || second > first-200*time.Millisecond {
			t.Errorf("budgets are %v and %v of 2 s", first, second)
		}
	})
}

func TestCancelRequestsEndsWaitingAndRunning(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		steps []step
		cold  bool
		kind  outcome.Kind
	}{
		"waiting for its model": {"/resume/x", nil, true, outcome.Stopping},
		"running at a replica":  {"/once/x", []step{{noResponse: true}}, false, outcome.DeadlineRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(test.steps...)
				if test.cold {
					fixture.setModels()
				}
				time.AfterFunc(100*time.Millisecond, fixture.relay.CancelRequests)
				if failure := fixture.serve(t.Context(), test.path); failure == nil || failure.Kind != test.kind {
					t.Errorf("ended as %v, want %v", failure, test.kind)
				}
			})
		})
	}
}

func TestStoppingDaemonRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(ok("yes"))
		fixture.relay.StopAccepting()
		if failure := fixture.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Stopping {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(step{noResponse: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if failure := fixture.serve(ctx, "/once/x"); failure == nil || failure.Kind != outcome.CallerGone {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRequestThatCrashesReplicasIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(lost, lost, lost, ok("yes"))
		for range crashLimit {
			_ = fixture.serve(t.Context(), "/once/x")
		}
		if failure := fixture.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Quarantined {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRejectionAfterARunIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(lost, rejected(false), rejected(false), rejected(false), rejected(false))
		failure := fixture.serve(t.Context(), "/again/x")
		if failure == nil || failure.Kind.Entry().Execution == outcome.NotRun {
			t.Errorf("ended as %v, though a replica may have run the request", failure)
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	fixture := newFixture()
	if fixture.relay.Configure(&topology.Configuration{Version: 1}) || !fixture.relay.Configure(&topology.Configuration{Version: 3}) ||
		fixture.relay.Configure(&topology.Configuration{Version: 2}) || fixture.relay.Configuration().Version != 3 {
		t.Errorf("version %d is in force, want 3", fixture.relay.Configuration().Version)
	}
}

func TestPickTargetKeepsWeights(t *testing.T) {
	counts := map[string]int{}
	for id := range 1000 {
		counts[pickTarget([]topology.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, fmt.Sprint(id))]++
	}
	if counts["a"] < 850 || counts["a"] > 950 {
		t.Errorf("shares are %v, want 90 to 10", counts)
	}
}

// TestExpiredRowDoesNotEndRunningRequests covers a replica whose row expires while it runs a request: the request is
// neither cancelled nor retried elsewhere.
func TestExpiredRowDoesNotEndRunningRequests(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			running := ok("")
			running.reply.Body = reader
			fixture := newFixture(running, ok(events(1, 9)))
			go func() {
				for id := range 6 {
					time.Sleep(500 * time.Millisecond)
					if id == 2 {
						fixture.directory.SetReplicas(nil)
					}
					_, _ = io.WriteString(writer, events(id+1, id+1))
				}
				_ = writer.Close()
			}()
			failure := fixture.serve(t.Context(), path)
			if failure != nil || len(fixture.upstream.attempts) != 1 || fixture.client.body.String() != events(1, 6) {
				t.Errorf("%s ended as %v after %d attempts with %q", path, failure, len(fixture.upstream.attempts), fixture.client.body.String())
			}
		})
	}
}

// TestSentBeforeNamesRepeatedReplicas covers a request that is sent to one replica twice: it must not share a connection with
// the first attempt, whose response may come again.
func TestSentBeforeNamesRepeatedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(rejected(false), rejected(false), ok("yes"))
		if failure := fixture.serve(t.Context(), "/once/x"); failure != nil {
			t.Fatal(failure)
		}
		seen := map[topology.Incarnation]bool{}
		for _, attempt := range fixture.upstream.attempts {
			if attempt.SentBefore != seen[attempt.Replica] {
				t.Errorf("attempt at %s has SentBefore %v", attempt.Replica.ID, attempt.SentBefore)
			}
			seen[attempt.Replica] = true
		}
		if len(seen) == len(fixture.upstream.attempts) {
			t.Error("no replica was repeated")
		}
	})
}
