package service_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/standin/network"
	standin "github.com/bronzestall/bronzestall/internal/standin/service"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/service"
	"github.com/bronzestall/bronzestall/upstream"
)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

// confirm returns a call with the identifier and the idempotency key "key-" followed by it.
func confirm(id string, idempotent bool) request.Request {
	return request.Request{
		ID:             id,
		API:            request.ServiceCall,
		Service:        "orders",
		Call:           catalogue.Call{Method: http.MethodPost, Path: "/confirm", Idempotent: idempotent},
		Idempotent:     idempotent,
		IdempotencyKey: "key-" + id,
		Body:           []byte(`{"slip":1}`),
	}
}

// inBubble runs the test in a bubble of testing/synctest with a service and a client over connections in memory.
func inBubble(t *testing.T, test func(t *testing.T, server *standin.Server, listener *network.Listener, client *service.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server := standin.New("s1", clock.RealClock{})
		listener := network.NewPipe()
		httpServer := &http.Server{Handler: server}
		go func() { _ = httpServer.Serve(listener) }()
		client := service.NewClient(service.ClientSettings{Address: "s1", Dial: listener.Dial}, clock.RealClock{})
		test(t, server, listener, client)
		client.Close()
		_ = httpServer.Close()
	})
}

func TestCallsRunAtMostOnceAndReportFailures(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		want   error
		runs   int
	}{
		{"no fault", standin.Faults{}, nil, 1},
		{"connection closed before the call runs", standin.Faults{CutBefore: 1}, upstream.ErrNoResponse, 0},
		{"connection closed after the call ran", standin.Faults{CutAfter: 1}, upstream.ErrNoResponse, 1},
		{"response to another call", standin.Faults{Crossed: 1}, upstream.ErrMismatched, 1},
		{"truncated response", standin.Faults{Truncated: 1}, upstream.ErrTruncated, 1},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{false, true} {
			inBubble(t, func(t *testing.T, server *standin.Server, _ *network.Listener, client *service.Client) {
				warmUp := confirm("warm", true)
				if _, err := client.Call(t.Context(), warmUp); err != nil {
					t.Fatal(err)
				}
				server.SetFaults(c.faults)
				if _, err := client.Call(t.Context(), confirm("r1", idempotent)); !errors.Is(err, c.want) {
					t.Errorf("%s: got %v, not %v", c.name, err, c.want)
				}
				if runs := server.Counts().Keys["key-r1"]; runs != c.runs {
					t.Errorf("%s: ran %d times, not %d", c.name, runs, c.runs)
				}
			})
		}
	}
}

func TestRefusedCallDoesNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, server *standin.Server, _ *network.Listener, client *service.Client) {
		server.SetFaults(standin.Faults{Refuse: 1})
		_, err := client.Call(t.Context(), confirm("r1", false))
		var refused *upstream.RefusedError
		if !errors.As(err, &refused) || server.Counts().Executions["r1"] != 0 {
			t.Errorf("got %v after %d runs", err, server.Counts().Executions["r1"])
		}
	})
}

// TestStalledIdleConnectionsDelayNoCall guards against a call that is sent over a reused connection which has
// stalled, where it would wait until its deadline.
func TestStalledIdleConnectionsDelayNoCall(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		inBubble(t, func(t *testing.T, server *standin.Server, listener *network.Listener, client *service.Client) {
			if _, err := client.Call(t.Context(), confirm("warm", true)); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			listener.StallConnections()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := client.Call(ctx, confirm("r1", idempotent)); err != nil {
				t.Errorf("call while reused connections are stalled: %v", err)
			}
			if runs := server.Counts().Executions["r1"]; runs != 1 {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}
