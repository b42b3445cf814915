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

func TestHowRequestsEnd(t *testing.T) {
	broken := errors.New("reset")
	for name, test := range map[string]struct {
		path  string
		steps []step
		sends int
		body  string
		kind  outcome.Kind
	}{
		"answered":                           {"/once/x", []step{ok("yes")}, 1, "yes", -1},
		"lost call is not sent again":        {"/once/x", []step{lost, ok("yes")}, 1, "", outcome.UpstreamLost},
		"rejected call is sent again":        {"/once/x", []step{rejected(false), ok("yes")}, 2, "yes", -1},
		"unsent call is sent again":          {"/once/x", []step{{err: exchange.ErrNotSent}, ok("yes")}, 2, "yes", -1},
		"truncated call is not repeated":     {"/once/x", []step{answered(200, "ye", broken), ok("yes")}, 1, "", outcome.UpstreamLost},
		"failure of a call is passed on":     {"/once/x", []step{answered(500, "no", io.EOF), ok("yes")}, 1, "no", -1},
		"lost lookup is sent again":          {"/again/x", []step{lost, ok("yes")}, 2, "yes", -1},
		"lookup runs twice at most":          {"/again/x", []step{lost, lost, ok("yes")}, 2, "", outcome.UpstreamLost},
		"failed lookup is mended":            {"/again/x", []step{answered(500, "no", io.EOF), ok("yes")}, 2, "yes", -1},
		"two failures pass the last on":      {"/again/x", []step{answered(500, "no", io.EOF), answered(500, "no2", io.EOF)}, 2, "no2", -1},
		"failure goes before a lost retry":   {"/again/x", []step{answered(500, "no", io.EOF), lost}, 2, "no", -1},
		"silent lookup goes elsewhere":       {"/again/x", []step{{silent: true}, ok("yes")}, 2, "yes", -1},
		"silent call waits for its deadline": {"/once/x", []step{{silent: true}, ok("yes")}, 1, "", outcome.DeadlineRunning},
		"stream":                             {"/stream/x", []step{ok(events(1, 3))}, 1, events(1, 3), -1},
		"cut stream is not joined":           {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(1, 3))}, 1, events(1, 2), outcome.UpstreamLost},
		"half an event is no end":            {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", io.EOF)}, 1, events(1, 2), outcome.UpstreamLost},
		"cut stream goes on where it may":    {"/resume/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(3, 4))}, 2, events(1, 4), -1},
		"resumed stream repeats nothing":     {"/resume/x", []step{answered(200, events(1, 2), broken), ok(events(1, 4))}, 2, events(1, 4), -1},
		"rejected stream is sent again":      {"/stream/x", []step{rejected(false), ok(events(1, 2))}, 2, events(1, 2), -1},
		"unknown path":                       {"/none/x", nil, 0, "", outcome.UnknownPath},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(test.steps...)
				failure := site.serve(t.Context(), test.path)
				kind := outcome.Kind(-1)
				if failure != nil {
					kind = failure.Kind
				}
				if kind != test.kind || site.client.body.String() != test.body || len(site.upstream.attempts) != test.sends {
					t.Errorf("ended as %v after %d sendings with %q", failure, len(site.upstream.attempts), site.client.body.String())
				}
			})
		})
	}
}

func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forged := ok("yes")
		forged.reply.Signed = false
		site := newSite(forged)
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.AnswerInvalid || site.client.Begun() {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestResumedStreamNamesTheLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(answered(200, events(1, 2), errors.New("reset")), ok(events(3, 3)))
		if failure := site.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		if got := site.upstream.attempts[1].ResumeAfter; got != 2 {
			t.Errorf("resumed after %d, want 2", got)
		}
		if site.upstream.attempts[0].Replica == site.upstream.attempts[1].Replica {
			t.Error("resumed at the replica that failed")
		}
	})
}

func TestBudgetShrinksWithEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(step{silent: true}, ok("yes"))
		if failure := site.serve(t.Context(), "/again/x"); failure != nil {
			t.Fatal(failure)
		}
		first, second := site.upstream.attempts[0].Budget, site.upstream.attempts[1].Budget
		if first != 2*time.Second || second > first-200*time.Millisecond {
			t.Errorf("budgets are %v and %v of 2 s", first, second)
		}
	})
}

// Cold requests: the model is not loaded when they arrive.

func TestEndAnswersWhatWaitsAndWhatRuns(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		steps []step
		cold  bool
		kind  outcome.Kind
	}{
		"waiting for its model": {"/resume/x", nil, true, outcome.Stopping},
		"running at a replica":  {"/once/x", []step{{silent: true}}, false, outcome.DeadlineRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(test.steps...)
				if test.cold {
					site.show()
				}
				time.AfterFunc(100*time.Millisecond, site.relay.End)
				if failure := site.serve(t.Context(), test.path); failure == nil || failure.Kind != test.kind {
					t.Errorf("ended as %v, want %v", failure, test.kind)
				}
			})
		})
	}
}

func TestStoppingDaemonRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(ok("yes"))
		site.relay.Refuse()
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Stopping {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(step{silent: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if failure := site.serve(ctx, "/once/x"); failure == nil || failure.Kind != outcome.CallerGone {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRequestThatBreaksReplicasIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(lost, lost, lost, ok("yes"))
		for range suspectLimit {
			_ = site.serve(t.Context(), "/once/x")
		}
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Quarantined {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(lost, rejected(false), rejected(false), rejected(false), rejected(false))
		failure := site.serve(t.Context(), "/again/x")
		if failure == nil || failure.Kind.Entry().Execution == outcome.NotRun {
			t.Errorf("ended as %v, though a replica may have run the request", failure)
		}
	})
}

func TestConfigurationNeverFallsBack(t *testing.T) {
	site := newSite()
	if site.relay.Configure(&topology.Configuration{Version: 1}) || !site.relay.Configure(&topology.Configuration{Version: 3}) ||
		site.relay.Configure(&topology.Configuration{Version: 2}) || site.relay.Configuration().Version != 3 {
		t.Errorf("version %d is in force, want 3", site.relay.Configuration().Version)
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

// TestSilentRowEndsNoRunningWork covers a replica whose row lapses while it works on: what it runs is neither given up nor
// started again elsewhere.
func TestSilentRowEndsNoRunningWork(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			running := ok("")
			running.reply.Body = reader
			site := newSite(running, ok(events(1, 9)))
			go func() {
				for id := range 6 {
					time.Sleep(500 * time.Millisecond)
					if id == 2 {
						site.directory.SetReplicas(nil)
					}
					_, _ = io.WriteString(writer, events(id+1, id+1))
				}
				_ = writer.Close()
			}()
			failure := site.serve(t.Context(), path)
			if failure != nil || len(site.upstream.attempts) != 1 || site.client.body.String() != events(1, 6) {
				t.Errorf("%s ended as %v after %d sendings with %q", path, failure, len(site.upstream.attempts), site.client.body.String())
			}
		})
	}
}
