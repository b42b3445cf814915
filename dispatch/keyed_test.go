package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// slowServices responds after a delay and counts the calls that ran to their end.
type slowServices struct {
	mutex sync.Mutex
	ended int
}

func (services *slowServices) Call(ctx context.Context, _ string, req request.Request) (Response, error) {
	select {
	case <-time.After(200 * time.Millisecond):
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
	services.mutex.Lock()
	defer services.mutex.Unlock()
	services.ended++
	return Response{Status: 200, ContentType: "text/plain", Body: req.Body}, nil
}

func keyedCall(body string) request.Request {
	req := chatRequest(body)
	req.API, req.Service, req.Stream, req.Idempotent, req.IdempotencyKey = request.ServiceCall, "tickets", false, false, "key-"+body
	return req
}

// TestKeyedCallOutlivesItsCaller checks that a call whose caller has disconnected runs to its end, and that a repeated
// call through another daemon gets the response.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformfake.New(clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
		cluster, services := newCluster("u1"), &slowServices{}
		var daemons []*Dispatcher
		for n := range 2 {
			daemon := cluster.dispatcher(Settings{})
			daemon.deps.Services = services
			daemon.deps.Claims = claim.New(claim.Settings{Incarnation: fmt.Sprint("run", n)}, fake.Client(), clock.RealClock{})
			daemons = append(daemons, daemon)
		}
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		first, second := keyedCall("charge"), keyedCall("charge")
		first.ID, second.ID = "first", "second"
		if err := daemons[0].Do(ctx, first, &fakeSink{failing: true}); !outcome.Is(err, outcome.CallerGone) {
			t.Errorf("the first request ended with %v", err)
		}
		time.Sleep(time.Second)
		sink := &fakeSink{}
		if err := daemons[1].Do(t.Context(), second, sink); err != nil || string(sink.body) != "charge" || services.ended != 1 {
			t.Errorf("the resend ended with %v and %q after %d runs", err, sink.body, services.ended)
		}
	})
}

// TestEjectedServiceIsTriedAgain checks that an ejected plain service, which cannot be probed, gets requests
// again.
func TestEjectedServiceIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster, services := newCluster("u1"), &fakeServices{err: upstream.ErrNoResponse}
		cluster.engines["u1"].down = true
		dispatcher := cluster.dispatcher(Settings{})
		dispatcher.deps.Services = services
		ctx, stop := context.WithCancel(t.Context())
		var task sync.WaitGroup
		task.Go(func() { dispatcher.Run(ctx) })
		for n := range 3 {
			req := keyedCall(fmt.Sprint(n))
			req.IdempotencyKey = ""
			_ = dispatcher.Do(ctx, req, &fakeSink{})
		}
		services.err = nil
		req := keyedCall("later")
		req.IdempotencyKey, req.Deadline = "", time.Now().Add(10*time.Second)
		time.Sleep(2 * time.Second)
		if err := dispatcher.Do(ctx, req, &fakeSink{}); err != nil {
			t.Errorf("a call after the recovery ended with %v", err)
		}
		stop()
		task.Wait()
	})
}

// TestQueueBounds fills the queue of a model that has no replica.
func TestQueueBounds(t *testing.T) {
	cases := []struct {
		name     string
		settings Settings
		tenant   string
		want     outcome.Kind
		others   int
	}{
		{"same tenant, model full", Settings{PerModel: 4}, "a", outcome.QueueFull, 4},
		{"same tenant, daemon full", Settings{Total: 4}, "a", outcome.QueueFull, 4},
		{"other tenant, model full", Settings{PerModel: 4}, "b", outcome.DeadlineInQueue, 3},
		{"other tenant, daemon full", Settings{Total: 4}, "b", outcome.DeadlineInQueue, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := newCluster().dispatcher(c.settings)
				kinds := map[outcome.Kind]int{}
				var mutex sync.Mutex
				var all sync.WaitGroup
				for n := range 4 {
					all.Go(func() {
						req := chatRequest(fmt.Sprint(n))
						if c.settings.Total > 0 {
							req.Target.Model = fmt.Sprint("m", n)
						}
						err := dispatcher.Do(t.Context(), req, &fakeSink{})
						mutex.Lock()
						defer mutex.Unlock()
						kinds[outcome.From(err).Kind]++
					})
				}
				synctest.Wait()
				req := chatRequest("one more")
				req.Tenant = c.tenant
				if err := dispatcher.Do(t.Context(), req, &fakeSink{}); !outcome.Is(err, c.want) {
					t.Errorf("the additional request ended with %v", err)
				}
				all.Wait()
				if kinds[outcome.DeadlineInQueue] != c.others || kinds[outcome.TenantLimit] != 4-c.others {
					t.Errorf("the other requests ended as %v", kinds)
				}
			})
		})
	}
}
