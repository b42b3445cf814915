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

// liar is a daemon and a service in one that breaks one promise.
type liar struct {
	// runs is what it counts for each key.
	runs int
	// refuse makes it refuse with this outcome; empty answers.
	refuse string
	// crossed makes it answer chats with the text of another.
	crossed bool

	mu   sync.Mutex
	keys map[string]int
}

// ServeHTTP answers as a daemon, and for /counts as a service.
func (l *liar) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch request.URL.Path {
	case "/health/ready":
	case "/counts":
		answer.JSON(writer, http.StatusOK, struct{ Keys map[string]int }{l.keys})
	case "/v1/chat/completions":
		body, _ := io.ReadAll(request.Body)
		if l.crossed {
			body = append(body, ' ')
		}
		expected := (&Callers{settings: Settings{Tokens: 3}}).expected(string(body))
		for _, token := range strings.SplitAfter(strings.TrimSuffix(expected, " "), " ") {
			_, _ = fmt.Fprintf(writer, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", strings.TrimSpace(token)+" ")
		}
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	default:
		l.keys[request.Header.Get("Idempotency-Key")] = l.runs
		if l.refuse != "" {
			writer.Header().Set("X-Outcome", l.refuse)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(writer, `{"Execution":1}`)
	}
}

func TestBrokenPromisesAreFound(t *testing.T) {
	cases := []struct {
		name  string
		liar  *liar
		want  Judgement
		chats ending
		calls ending
	}{
		{"honest", &liar{runs: 1}, Judgement{}, answered, answered},
		{"runs twice", &liar{runs: 2}, Judgement{RanTwice: 2}, answered, answered},
		{"answers without running", &liar{}, Judgement{AnsweredWithoutRun: 2}, answered, answered},
		{"truly refuses", &liar{refuse: "not run"}, Judgement{}, answered, notRun},
		{"runs and says not run", &liar{runs: 1, refuse: "not run"}, Judgement{FalseNotRun: 2}, answered, notRun},
		{"runs and says may have run", &liar{runs: 1, refuse: "may have run"}, Judgement{}, answered, mayHaveRun},
		{"crosses answers", &liar{runs: 1, crossed: true}, Judgement{}, wrong, answered},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			c.liar.keys = map[string]int{}
			listener := network.NewPipe()
			server := &http.Server{Handler: c.liar}
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
