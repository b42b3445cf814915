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

	"github.com/bronzestall/bronzestall/internal/transport"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// The headers of the protocol between daemon and service.
const (
	requestIDHeader = "X-Request-Id"
	keyHeader       = "Idempotency-Key"
	outcomeHeader   = "X-Outcome"
	outcomeNotRun   = "not run"
)

// Client calls one plain service. It is safe for concurrent use. Use NewClient.
type Client struct {
	settings ClientSettings
	// wire opens a connection for each call.
	wire *transport.Client
}

// NewClient returns a client that has not connected yet.
func NewClient(settings ClientSettings, clk clock.Clock) *Client {
	if settings.MaxBody == 0 {
		settings.MaxBody = defaultMaxBody
	}
	wire := transport.New(transport.Settings{
		DialTimeout:       settings.DialTimeout,
		Connections:       settings.Connections,
		DisableKeepAlives: true,
		Dial:              settings.Dial,
	}, clk)
	return &Client{settings: settings, wire: wire}
}

// Close releases what the client holds beside running calls.
func (client *Client) Close() {
	client.wire.Close()
}

// Call makes one call and returns the whole answer. It goes over a connection of its own, since a kept
// one may have gone silent: an idempotent call would wait there until its deadline, and the outcome of
// another would stay unknown.
// Call fails with upstream.ErrNotSent, ErrNoAnswer, ErrTruncated, ErrForeign or a *upstream.RefusedError.
func (client *Client) Call(ctx context.Context, call request.Request) (Answer, error) {
	message, err := client.message(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	response, err := client.wire.Do(ctx, message, call.Body)
	if err != nil {
		return Answer{}, upstream.SendFailure(err)
	}
	defer response.Body.Close()
	return client.receive(response, call.ID)
}

func (client *Client) message(ctx context.Context, call request.Request) (*http.Request, error) {
	address := "http://" + client.settings.Address + call.Call.Path
	message, err := http.NewRequestWithContext(ctx, call.Call.Method, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	message.Header.Set(requestIDHeader, call.ID)
	if call.ContentType != "" {
		message.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		message.Header.Set(keyHeader, call.Key)
	}
	return message, nil
}

func (client *Client) receive(response *http.Response, id string) (Answer, error) {
	if got := response.Header.Get(requestIDHeader); got != id {
		return Answer{}, fmt.Errorf("%w: got %q", upstream.ErrForeign, got)
	}
	content, err := client.content(response)
	if response.Header.Get(outcomeHeader) == outcomeNotRun {
		return Answer{}, refused(response.StatusCode, content)
	}
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        content,
	}, nil
}

// content reads the body to its stated end.
func (client *Client) content(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: length is not stated", upstream.ErrTruncated)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, client.settings.MaxBody+1))
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, fmt.Errorf("%w: %w", upstream.ErrTruncated, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", upstream.ErrNoAnswer, trace.Wrap(err))
	case int64(len(content)) > client.settings.MaxBody:
		return nil, fmt.Errorf("%w: longer than %d bytes", upstream.ErrTruncated, client.settings.MaxBody)
	}
	return content, nil
}

func refused(status int, content []byte) error {
	var told struct{ Reason string }
	_ = json.Unmarshal(content, &told)
	return &upstream.RefusedError{Status: status, Reason: told.Reason}
}
