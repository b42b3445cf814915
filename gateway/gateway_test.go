package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/settings"
)

const key = "key-of-a"

type fakeResolver struct{}

func (fakeResolver) Resolve(target catalogue.Target) error {
	switch target.Model {
	case "m":
		return nil
	case "old":
		return outcome.New(outcome.Withdrawn, "withdrawn")
	default:
		return outcome.New(outcome.UnknownModel, "unknown")
	}
}

func (fakeResolver) Call(service, method, path string) (catalogue.Call, error) {
	if service != "orders" || path != "/confirm/now" || method != http.MethodPost {
		return catalogue.Call{}, outcome.New(outcome.UnknownService, "unknown")
	}
	return catalogue.Call{Method: method, Path: path}, nil
}

func (fakeResolver) Targets() []string { return []string{"m", "m:a"} }

type fakeHealth struct{ reason string }

func (health fakeHealth) Ready() (bool, string) { return health.reason == "", health.reason }

// fakeRunner records the requests that it receives and responds with the function response.
type fakeRunner struct {
	got      []request.Request
	response func(ctx context.Context, sink request.Sink) error
}

func (runner *fakeRunner) Do(ctx context.Context, req request.Request, sink request.Sink) error {
	runner.got = append(runner.got, req)
	return runner.response(ctx, sink)
}

// newTestGateway returns a gateway with one tenant, one class and a body limit of 200 bytes.
func newTestGateway(t *testing.T, runner Runner) *Gateway {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	gateway, err := New(settings.Settings{
		Tenants: []settings.Tenant{{Name: "a", KeySHA256: hex.EncodeToString(sum[:])}},
		Classes: []settings.Class{{Name: "gate", Deadline: 2 * time.Second, Priority: 7}},
		Queue:   settings.Queue{BodyBytes: 200},
	}, Deps{Resolver: fakeResolver{}, Runner: runner, Health: fakeHealth{}, Meter: meter.New(), Clock: clock.RealClock{}})
	if err != nil {
		t.Fatal(err)
	}
	return gateway
}

func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	const valid = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for _, test := range []struct {
		name, method, path, body string
		headers                  map[string]string
		want                     outcome.Kind
	}{
		{"malformed body", "POST", chatPath, `{"model":`, nil, outcome.InvalidBody},
		{"wrong type", "POST", chatPath, `{"model":1}`, nil, outcome.InvalidBody},
		{"no model", "POST", chatPath, `{"messages":[]}`, nil, outcome.MissingField},
		{"negative length", "POST", chatPath, withField(valid, `"max_tokens":-5`), nil, outcome.InvalidBody},
		{"zero length", "POST", chatPath, withField(valid, `"max_tokens":0`), nil, outcome.InvalidBody},
		{"length above the maximum", "POST", chatPath, withField(valid, `"max_tokens":9223372036854775807`), nil, outcome.InvalidBody},
		{"negative length by its newer name", "POST", chatPath, withField(valid, `"max_completion_tokens":-1`), nil, outcome.InvalidBody},
		{"zero choices", "POST", chatPath, withField(valid, `"n":0`), nil, outcome.InvalidBody},
		{"fractional length", "POST", chatPath, withField(valid, `"max_tokens":1.5`), nil, outcome.InvalidBody},
		{"no prompt", "POST", completionPath, `{"model":"m"}`, nil, outcome.MissingField},
		{"unknown model", "POST", chatPath, strings.Replace(valid, `"m"`, `"x"`, 1), nil, outcome.UnknownModel},
		{"withdrawn model", "POST", chatPath, strings.Replace(valid, `"m"`, `"old"`, 1), nil, outcome.Withdrawn},
		{"body over the limit", "POST", chatPath, strings.Repeat(" ", 201), nil, outcome.BodyTooLarge},
		{"unknown path", "GET", "/v1/unknown", "", nil, outcome.UnknownPath},
		{"wrong method", "GET", chatPath, "", nil, outcome.MethodNotAllowed},
		{"no key", "POST", chatPath, valid, map[string]string{"Authorization": ""}, outcome.Unauthenticated},
		{"wrong key", "POST", chatPath, valid, map[string]string{"Authorization": "Bearer x"}, outcome.Unauthenticated},
		{"unknown class", "POST", chatPath, valid, map[string]string{headerClass: "x"}, outcome.MissingField},
		{"deadline without a unit", "POST", chatPath, valid, map[string]string{headerDeadline: "5"}, outcome.MissingField},
		{"negative deadline", "POST", chatPath, valid, map[string]string{headerDeadline: "-1s"}, outcome.MissingField},
		{"unknown service", "POST", "/services/x/confirm/now", "", nil, outcome.UnknownService},
		{"unknown call", "POST", "/services/orders/other", "", nil, outcome.UnknownService},
		{"wrong method of a call", "GET", "/services/orders/confirm/now", "", nil, outcome.UnknownService},
	} {
		t.Run(test.name, func(t *testing.T) {
			runner := &fakeRunner{}
			recorder := send(newTestGateway(t, runner), test.method, test.path, test.body, test.headers)
			entry := test.want.Entry()
			if recorder.Code != entry.Status {
				t.Errorf("status %d, want %d", recorder.Code, entry.Status)
			}
			if got := recorder.Header().Get(headerKind); got != entry.Name {
				t.Errorf("kind %q, want %q", got, entry.Name)
			}
			if got := recorder.Header().Get(headerOutcome); got != string(outcome.NotRun) {
				t.Errorf("outcome %q, want not run", got)
			}
			if !json.Valid(recorder.Body.Bytes()) {
				t.Errorf("the body is not JSON: %s", recorder.Body)
			}
			if len(runner.got) != 0 {
				t.Error("the request reached the runner")
			}
		})
	}
}

// withField returns a JSON object with one more field.
func withField(object, field string) string {
	return strings.TrimSuffix(object, "}") + "," + field + "}"
}

func TestEstimatedTokensFollowTheMaximumResponse(t *testing.T) {
	for _, test := range []struct {
		body string
		want int
	}{
		{`{"model":"m","prompt":"12345678"}`, 258},
		{`{"model":"m","prompt":"12345678","max_tokens":null}`, 258},
		{`{"model":"m","prompt":"12345678","max_tokens":10}`, 12},
		{`{"model":"m","prompt":"12345678","max_completion_tokens":10,"n":3}`, 32},
		{`{"model":"m","prompt":"12345678","max_tokens":10,"max_completion_tokens":20}`, 22},
	} {
		parsed, err := parsePrompt([]byte(test.body))
		if err != nil {
			t.Fatalf("%s: %v", test.body, err)
		}
		if got := parsed.tokens(); got != test.want {
			t.Errorf("%s: estimate of %d tokens, want %d", test.body, got, test.want)
		}
	}
}

// send makes a request with the key of the tenant and the headers, and returns the recorded response.
func send(gateway http.Handler, method, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	gateway.ServeHTTP(recorder, req)
	return recorder
}

func TestAdmittedRequest(t *testing.T) {
	runner := &fakeRunner{response: func(_ context.Context, sink request.Sink) error {
		_ = sink.Begin(http.StatusOK, contentStream)
		return sink.Chunk([]byte("id: 1\ndata: x\n\n"))
	}}
	body := `{"model":"m:a","messages":[{"role":"user","content":"plan"}],"stream":true,"max_tokens":40}`
	recorder := send(newTestGateway(t, runner), "POST", chatPath, body, map[string]string{headerDeadline: "500ms"})
	got := runner.got[0]
	want := request.Request{
		ID: got.ID, Tenant: "a", Class: "gate", Priority: 7, API: request.Chat,
		Target: catalogue.Target{Model: "m", Adapter: "a"}, Idempotent: true, Stream: true, Tokens: 48,
	}
	if got.Tenant != want.Tenant || got.Class != want.Class || got.Priority != want.Priority ||
		got.Target != want.Target || got.Idempotent != want.Idempotent || got.Stream != want.Stream || got.Tokens != want.Tokens {
		t.Errorf("request is %+v, want %+v", got, want)
	}
	if within := got.Deadline.Sub(got.Arrived); within != 500*time.Millisecond {
		t.Errorf("deadline is %s after arrival, want the caller's 500ms", within)
	}
	if recorder.Body.String() != "id: 1\ndata: x\n\n" || recorder.Header().Get(headerRequestID) != got.ID {
		t.Errorf("response is %q with headers %v", recorder.Body, recorder.Header())
	}
}

func TestServiceCallKeepsIdempotencyKey(t *testing.T) {
	runner := &fakeRunner{response: func(context.Context, request.Sink) error {
		return outcome.New(outcome.ClaimUnavailable, "the platform is unavailable").WithRetryAfter(1500 * time.Millisecond)
	}}
	recorder := send(newTestGateway(t, runner), "POST", "/services/orders/confirm/now", "{}", map[string]string{headerKey: "k1"})
	got := runner.got[0]
	if got.API != request.ServiceCall || got.Idempotent || got.IdempotencyKey != "k1" || got.Service != "orders" || got.Call.Path != "/confirm/now" {
		t.Errorf("request is %+v", got)
	}
	if recorder.Header().Get(headerRetry) != "2" || recorder.Header().Get(headerOutcome) != "not run" {
		t.Errorf("headers are %v", recorder.Header())
	}
}

// TestFailedResponseIsAborted covers handlers that fail after their response has begun: the caller must get nothing that looks
// complete, and no text of another response after what it has.
func TestFailedResponseIsAborted(t *testing.T) {
	const half = `{"half":`
	for name, fail := range map[string]func() error{
		"a failure": func() error { return outcome.New(outcome.UpstreamLost, "lost") },
		"a panic":   func() error { panic("fault") },
	} {
		t.Run(name, func(t *testing.T) {
			runner := &fakeRunner{response: func(_ context.Context, sink request.Sink) error {
				_ = sink.Begin(http.StatusOK, contentJSON)
				_ = sink.Chunk([]byte(half))
				return fail()
			}}
			server := httptest.NewServer(newTestGateway(t, runner))
			defer server.Close()
			req, _ := http.NewRequest("POST", server.URL+chatPath, strings.NewReader(`{"model":"m","messages":[{}]}`))
			req.Header.Set("Authorization", "Bearer "+key)
			response, err := server.Client().Do(req)
			if err != nil {
				return
			}
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			if err == nil || !strings.HasPrefix(half, string(content)) {
				t.Errorf("the caller read %q, %v", content, err)
			}
		})
	}
}

func TestPanicGivesInternal(t *testing.T) {
	runner := &fakeRunner{response: func(context.Context, request.Sink) error { panic("fault") }}
	recorder := send(newTestGateway(t, runner), "POST", chatPath, `{"model":"m","messages":[{}]}`, nil)
	if recorder.Header().Get(headerKind) != "Internal" || recorder.Header().Get(headerOutcome) != "may have run" {
		t.Errorf("headers are %v", recorder.Header())
	}
}

// TestEachResponseHasItsID covers the responses that no request of a tenant is behind.
func TestEachResponseHasItsID(t *testing.T) {
	for _, path := range []string{modelsPath, livePath, readyPath, "/nowhere"} {
		recorder := send(newTestGateway(t, &fakeRunner{}), "GET", path, "", nil)
		if recorder.Header().Get(headerRequestID) == "" {
			t.Errorf("%s responds %d without %s", path, recorder.Code, headerRequestID)
		}
	}
}
