package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/responsehead"
	"github.com/bronzestall/bronzestall/internal/transport"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// The headers of the protocol between daemon and service, and a value of the outcome header.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	outcomeHeader   = "X-Outcome"
	outcomeNotRun   = "not run"
)

// Client calls one plain service. It is safe for concurrent use. Use NewClient.
type Client struct {
	settings ClientSettings
	// httpClient opens a new connection for each call.
	httpClient *transport.Client
}

// NewClient returns a client. Each call opens its own connection.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	if settings.MaxBody == 0 {
		settings.MaxBody = defaultMaxBody
	}
	httpClient := transport.New(transport.Settings{
		DialTimeout:       settings.DialTimeout,
		Connections:       settings.Connections,
		DisableKeepAlives: true,
		Dial:              settings.Dial,
	}, clk)
	return &Client{settings: settings, httpClient: httpClient}
}

// Close closes the idle connections. Calls in flight are not affected.
func (client *Client) Close() {
	client.httpClient.Close()
}

// Call makes one call and returns the complete response. It opens a new connection, because a reused one
// may have stalled: an idempotent call would wait on it until its deadline, and the outcome of any other
// call would remain unknown.
// Call fails with upstream.ErrNotSent, ErrNoResponse, ErrTruncated, ErrMismatched or a *upstream.RefusedError.
func (client *Client) Call(ctx context.Context, call request.Request) (Response, error) {
	httpRequest, err := client.httpRequest(ctx, call)
	if err != nil {
		return Response{}, err
	}
	response, err := client.httpClient.Do(ctx, httpRequest, call.Body)
	if err != nil {
		return Response{}, upstream.SendError(err)
	}
	defer response.Body.Close()
	return client.receive(response, call.ID)
}

// httpRequest returns the HTTP request of the call without its body.
func (client *Client) httpRequest(ctx context.Context, call request.Request) (*http.Request, error) {
	address := "http://" + client.settings.Address + call.Call.Path
	httpRequest, err := http.NewRequestWithContext(ctx, call.Call.Method, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	httpRequest.Header.Set(requestIDHeader, call.ID)
	if call.ContentType != "" {
		httpRequest.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		httpRequest.Header.Set(keyHeader, call.IdempotencyKey)
	}
	return httpRequest, nil
}

// receive checks the response against the identifier of the call and reads it.
func (client *Client) receive(response *http.Response, id string) (Response, error) {
	if got := response.Header.Get(requestIDHeader); got != id {
		return Response{}, fmt.Errorf("%w: got %q", upstream.ErrMismatched, got)
	}
	content, err := client.content(response)
	if response.Header.Get(outcomeHeader) == outcomeNotRun {
		return Response{}, refusalError(response.StatusCode, content)
	}
	if err != nil {
		return Response{}, err
	}
	return Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        content,
	}, nil
}

// content reads the complete body. It returns ErrTruncated if the end of the body cannot be verified.
func (client *Client) content(response *http.Response) ([]byte, error) {
	if !responsehead.IsFramed(response) {
		return nil, fmt.Errorf("%w: response has neither a length nor a chunked encoding", upstream.ErrTruncated)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, client.settings.MaxBody+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, fmt.Errorf("%w: %w", upstream.ErrTruncated, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", upstream.ErrNoResponse, trace.Wrap(err))
	case int64(len(content)) > client.settings.MaxBody:
		return nil, fmt.Errorf("%w: response is longer than %d bytes", upstream.ErrTruncated, client.settings.MaxBody)
	}
	return content, nil
}

// refusalError returns a *upstream.RefusedError. Its reason is empty if the content cannot be decoded.
func refusalError(status int, content []byte) error {
	var refusal struct{ Reason string }
	_ = json.Unmarshal(content, &refusal)
	return &upstream.RefusedError{Status: status, Reason: refusal.Reason}
}
