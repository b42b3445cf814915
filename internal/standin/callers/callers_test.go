package callers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/internal/standin/network"
)

// faultyDaemon simulates a daemon together with a service, with one fault.
type faultyDaemon struct {
	// runs is the number of executions that it reports for each key.
	runs int
	// refuse is the outcome with which it refuses calls; if it is empty, calls succeed.
	refuse string
	// mismatched makes it respond to chats with the text of another request.
	mismatched bool

	mu   sync.Mutex
	keys map[string]int
}

// ServeHTTP handles requests as a daemon, and /counts as a service.
func (d *faultyDaemon) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch request.URL.Path {
	case "/health/ready":
	case "/counts":
		answer.JSON(writer, http.StatusOK, struct{ Keys map[string]int }{d.keys})
	case "/v1/chat/completions":
		body, _ := io.ReadAll(request.Body)
		if d.mismatched {
			body = append(body, ' ')
		}
		expected := (&Callers{settings: Settings{Tokens: 3}}).expected(string(body))
		for _, token := range strings.SplitAfter(strings.TrimSuffix(expected, " "), " ") {
			_, _ = fmt.Fprintf(writer, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", strings.TrimSpace(token)+" ")
		}
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	default:
		d.keys[request.Header.Get("Idempotency-Key")] = d.runs
		if d.refuse != "" {
			writer.Header().Set("X-Outcome", d.refuse)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(writer, `{"Execution":1}`)
	}
}

func TestReportDetectsViolations(t *testing.T) {
	cases := []struct {
		name         string
		faultyDaemon *faultyDaemon
		want         Judgement
		chats        result
		calls        result
	}{
		{"correct", &faultyDaemon{runs: 1}, Judgement{}, answered, answered},
		{"runs twice", &faultyDaemon{runs: 2}, Judgement{RanTwice: 2}, answered, answered},
		{"succeeds without running", &faultyDaemon{}, Judgement{AnsweredWithoutRun: 2}, answered, answered},
		{"refuses without running", &faultyDaemon{refuse: "not run"}, Judgement{}, answered, notRun},
		{"runs and reports not run", &faultyDaemon{runs: 1, refuse: "not run"}, Judgement{FalseNotRun: 2}, answered, notRun},
		{"runs and reports may have run", &faultyDaemon{runs: 1, refuse: "may have run"}, Judgement{}, answered, mayHaveRun},
		{"mismatched responses", &faultyDaemon{runs: 1, mismatched: true}, Judgement{}, wrong, answered},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			c.faultyDaemon.keys = map[string]int{}
			listener := network.NewPipe()
			server := &http.Server{Handler: c.faultyDaemon}
			go func() { _ = server.Serve(listener) }()
			callers := New(Settings{
				Daemons: []string{"d"}, Services: []string{"s"}, Path: "/services/orders/confirm", Rate: 1, Tokens: 3,
				Duration: 2 * time.Second, Patience: time.Millisecond, Sending: time.Second,
			}, clock.RealClock{})
			callers.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, a, b string) (net.Conn, error) {
				return listener.Dial(ctx, a, b)
			}
			report, err := callers.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if report.Judgement != c.want || report.Chats[c.chats] != 2 || report.Calls[c.calls] != 2 {
				t.Errorf("%s: %+v", c.name, report)
			}
			time.Sleep(time.Second)
			_ = server.Close()
		})
	}
}
