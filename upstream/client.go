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

// The headers of the protocol between daemon and engine, and a value of the outcome header.
const (
	requestIDHeader = "X-Request-Id"
	outcomeHeader   = "X-Outcome"
	loadHeader      = "X-Load"
	outcomeNotRun   = "not run"
)

// Client calls one engine over HTTP. It never retries a request that may have been sent.
// It is safe for concurrent use and implements Engine and Generator. Use NewClient.
type Client struct {
	settings   ClientSettings
	clock      clock.Clock
	httpClient *transport.Client
	// freshClient opens a new connection for each request.
	freshClient *transport.Client
}

var (
	_ Engine    = (*Client)(nil)
	_ Generator = (*Client)(nil)
)

// NewClient returns a client. Connections are opened when requests need them.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	settings = settings.withDefaults()
	connections := transport.Settings{
		DialTimeout:   settings.DialTimeout,
		IdleTimeout:   settings.IdleTimeout,
		ConnectionAge: settings.ConnectionAge,
		Connections:   settings.Connections,
		Dial:          settings.Dial,
	}
	client := &Client{settings: settings, clock: clk, httpClient: transport.New(connections, clk)}
	connections.DisableKeepAlives = true
	client.freshClient = transport.New(connections, clk)
	return client
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.httpClient.Close()
	client.freshClient.Close()
}

// State returns the current state of the engine. It fails with ErrNotSent, ErrNoResponse or ErrMismatched.
func (client *Client) State(ctx context.Context) (State, error) {
	return client.state(ctx, client.httpClient)
}

// Probe opens a new connection and returns the boot identifier of the engine. It fails like State.
func (client *Client) Probe(ctx context.Context) (string, error) {
	state, err := client.state(ctx, client.freshClient)
	return state.BootID, err
}

// state requests the state over the given client and checks that the expected engine sent it.
func (client *Client) state(ctx context.Context, httpClient *transport.Client) (State, error) {
	var state State
	call := call{method: http.MethodGet, path: "/engine/state", limit: maxStateBytes}
	if err := client.do(ctx, httpClient, call, &state); err != nil {
		return State{}, err
	}
	if client.settings.Name != "" && state.Upstream != client.settings.Name {
		return State{}, fmt.Errorf("%w: got the state of %s", ErrMismatched, state.Upstream)
	}
	return state, nil
}

// Send sends an order. It fails with ErrNotSent, ErrNoResponse or ErrMismatched, of which only
// ErrNotSent guarantees that the engine did not execute the order.
func (client *Client) Send(ctx context.Context, order Order) (Verdict, error) {
	var result struct{ Verdict Verdict }
	call := call{method: http.MethodPost, path: "/engine/orders", id: order.ID, payload: order, limit: maxRefusalBytes}
	if err := client.do(ctx, client.httpClient, call, &result); err != nil {
		return "", err
	}
	if !result.Verdict.known() {
		return "", fmt.Errorf("%w: unknown verdict", ErrNoResponse)
	}
	return result.Verdict, nil
}

// CacheEvents returns the boot identifier of the engine and those of its cache events whose sequence
// number is above after.
func (client *Client) CacheEvents(ctx context.Context, after uint64) (string, []CacheEvent, error) {
	var result struct {
		BootID string `json:"BootId"`
		Events []CacheEvent
	}
	path := "/engine/events?after=" + strconv.FormatUint(after, 10)
	err := client.do(ctx, client.httpClient, call{method: http.MethodGet, path: path, limit: maxStateBytes}, &result)
	return result.BootID, result.Events, err
}

// Export ends a generation on this engine and returns its KV cache, so that another engine can continue it.
func (client *Client) Export(ctx context.Context, requestID string) ([]byte, error) {
	var blob json.RawMessage
	payload := struct {
		RequestID string `json:"RequestId"`
	}{requestID}
	exportCall := call{
		method: http.MethodPost, path: "/engine/kv/export", id: requestID,
		payload: payload, limit: client.settings.MaxBody,
	}
	err := client.do(ctx, client.httpClient, exportCall, &blob)
	return blob, err
}

// Import loads the KV cache of a generation that another engine exported. The generation continues when
// Generate is called for the same request with ResumeAfter set.
func (client *Client) Import(ctx context.Context, requestID string, blob []byte) error {
	importCall := call{
		method: http.MethodPost, path: "/engine/kv/import", id: requestID,
		payload: json.RawMessage(blob), limit: maxRefusalBytes,
	}
	return client.do(ctx, client.httpClient, importCall, nil)
}

// call is one request to the engine that is not a generation.
type call struct {
	method, path string
	// id is the identifier that the response must carry; an empty one is not checked.
	id string
	// payload is the value to send as JSON, or nil.
	payload any
	// limit is the maximum length of the response body in bytes.
	limit int64
}

// do makes the call within the timeout and decodes the response into result unless result is nil.
func (client *Client) do(ctx context.Context, httpClient *transport.Client, call call, result any) error {
	ctx, cancel := context.WithTimeout(ctx, client.settings.Timeout)
	defer cancel()
	body, err := encode(call.payload)
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
	response, err := httpClient.Do(ctx, request, body)
	if err != nil {
		return SendError(err)
	}
	defer response.Body.Close()
	return decode(response, call, result)
}

// encode returns the payload as JSON, or nil if there is none.
func encode(payload any) ([]byte, error) {
	if payload == nil {
		return nil, nil
	}
	body, err := json.Marshal(payload)
	return body, trace.Wrap(err)
}

// decode checks identifier and status of the response and decodes its body into result unless result is nil.
func decode(response *http.Response, call call, result any) error {
	if got := response.Header.Get(requestIDHeader); call.id != "" && got != call.id {
		return fmt.Errorf("%w: got %q", ErrMismatched, got)
	}
	content, err := readAll(response, call.limit)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: %s", ErrNoResponse, response.Status, bytes.TrimSpace(content))
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return nil
}

// readAll reads the whole body. It returns an error if the body is longer than limit bytes or truncated.
func readAll(response *http.Response, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(content)) > limit {
		return nil, trace.LimitExceeded("response is longer than %d bytes", limit)
	}
	return content, nil
}

// SendError returns the error of a request that got no response: ErrNotSent only if no byte was or can
// still be written, else ErrNoResponse.
func SendError(err error) error {
	if transport.IsNotSent(err) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}
