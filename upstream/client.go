package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/transport"
)

// The headers of the protocol between daemon and engine.
const (
	requestIDHeader = "X-Request-Id"
	outcomeHeader   = "X-Outcome"
	loadHeader      = "X-Load"
	outcomeNotRun   = "not run"
)

// Client speaks to one engine over HTTP. It never repeats a request by itself.
// It is safe for concurrent use and implements Engine and Generator. Use NewClient.
type Client struct {
	settings ClientSettings
	clock    clock.Clock
	wire     *transport.Client
	// fresh opens a connection for each exchange.
	fresh *transport.Client
}

var (
	_ Engine    = (*Client)(nil)
	_ Generator = (*Client)(nil)
)

// NewClient returns a client that has not connected yet.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	settings = settings.withDefaults()
	connections := transport.Settings{
		DialTimeout:   settings.DialTimeout,
		IdleTimeout:   settings.IdleTimeout,
		ConnectionAge: settings.ConnectionAge,
		Connections:   settings.Connections,
		Dial:          settings.Dial,
	}
	client := &Client{settings: settings, clock: clk, wire: transport.New(connections, clk)}
	connections.DisableKeepAlives = true
	client.fresh = transport.New(connections, clk)
	return client
}

// Close closes the connections that no exchange uses.
func (client *Client) Close() {
	client.wire.Close()
	client.fresh.Close()
}

// State returns the state of the engine now. It fails with ErrNotSent, ErrNoAnswer or ErrForeign.
func (client *Client) State(ctx context.Context) (State, error) {
	return client.state(ctx, client.wire)
}

// Probe opens a fresh connection and returns the engine's boot. It fails as State does.
func (client *Client) Probe(ctx context.Context) (string, error) {
	state, err := client.state(ctx, client.fresh)
	return state.BootID, err
}

func (client *Client) state(ctx context.Context, wire *transport.Client) (State, error) {
	var state State
	call := call{method: http.MethodGet, path: "/engine/state", limit: maxState}
	if err := client.do(ctx, wire, call, &state); err != nil {
		return State{}, err
	}
	if client.settings.Name != "" && state.Upstream != client.settings.Name {
		return State{}, fmt.Errorf("%w: state of %s", ErrForeign, state.Upstream)
	}
	return state, nil
}

// Send gives an order. It fails with ErrNotSent, ErrNoAnswer or ErrForeign, after
// which the engine may have done the order except for ErrNotSent.
func (client *Client) Send(ctx context.Context, order Order) (Verdict, error) {
	var answer struct{ Verdict Verdict }
	call := call{method: http.MethodPost, path: "/engine/orders", id: order.ID, question: order, limit: maxRefusal}
	if err := client.do(ctx, client.wire, call, &answer); err != nil {
		return "", err
	}
	if !answer.Verdict.known() {
		return "", fmt.Errorf("%w: unknown verdict", ErrNoAnswer)
	}
	return answer.Verdict, nil
}

// CacheEvents returns the boot of the engine and the cache events of it that are known after the number.
func (client *Client) CacheEvents(ctx context.Context, after uint64) (string, []CacheEvent, error) {
	var answer struct {
		BootID string `json:"BootId"`
		Events []CacheEvent
	}
	path := "/engine/events?after=" + strconv.FormatUint(after, 10)
	err := client.do(ctx, client.wire, call{method: http.MethodGet, path: path, limit: maxState}, &answer)
	return answer.BootID, answer.Events, err
}

// Export ends a generation on this engine and returns its KV cache, so that another engine can go on.
func (client *Client) Export(ctx context.Context, requestID string) ([]byte, error) {
	var blob json.RawMessage
	question := struct {
		RequestID string `json:"RequestId"`
	}{requestID}
	export := call{
		method: http.MethodPost, path: "/engine/kv/export", id: requestID,
		question: question, limit: client.settings.MaxBody,
	}
	err := client.do(ctx, client.wire, export, &blob)
	return blob, err
}

// Import takes up a generation that another engine exported. It goes on once
// Generate is called for the same request with ResumeAfter set.
func (client *Client) Import(ctx context.Context, requestID string, blob []byte) error {
	take := call{
		method: http.MethodPost, path: "/engine/kv/import", id: requestID,
		question: json.RawMessage(blob), limit: maxRefusal,
	}
	return client.do(ctx, client.wire, take, nil)
}

// call is one exchange that is not a generation.
type call struct {
	method, path string
	// id is repeated by the engine; empty is not checked.
	id string
	// question is the value to send, or nil.
	question any
	// limit is the largest answer in bytes.
	limit int64
}

// do makes the exchange within the timeout and decodes the answer unless that is nil.
func (client *Client) do(ctx context.Context, wire *transport.Client, call call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	body, err := encode(call.question)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+client.settings.Address+call.path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if call.id != "" {
		request.Header.Set(requestIDHeader, call.id)
	}
	response, err := wire.Do(ctx, request, body)
	if err != nil {
		return SendFailure(err)
	}
	defer response.Body.Close()
	return receive(response, call, answer)
}

func encode(question any) ([]byte, error) {
	if question == nil {
		return nil, nil
	}
	body, err := json.Marshal(question)
	return body, trace.Wrap(err)
}

func receive(response *http.Response, call call, answer any) error {
	if got := response.Header.Get(requestIDHeader); call.id != "" && got != call.id {
		return fmt.Errorf("%w: got %q", ErrForeign, got)
	}
	content, err := readAll(response, call.limit)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", ErrNoAnswer, response.Status, bytes.TrimSpace(content))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// readAll reads the whole body and fails if it is longer than limit bytes or ends early.
func readAll(response *http.Response, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(content)) > limit {
		return nil, trace.LimitExceeded("answer is longer than %d bytes", limit)
	}
	return content, nil
}

// SendFailure returns the failure of an exchange that got no answer: ErrNotSent only if no byte was
// or can still be written, else ErrNoAnswer.
func SendFailure(err error) error {
	if transport.IsNotSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}
