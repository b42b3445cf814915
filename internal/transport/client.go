package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/gravitational/trace"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"k8s.io/utils/clock"
)

// serviceName is the service name that the HTTP library uses for all requests. Its circuit breaker is disabled for
// this name, because it would reject requests by rules of its own.
const serviceName = "bronzestall"

// maxHeaderBytes bounds the size of the status line and headers of a response.
const maxHeaderBytes = 64 << 10

// maxAttempts bounds the attempts to send a request on connections that turn out to be broken or too old.
const maxAttempts = 4

// Client sends requests to one address. It is safe for concurrent use. Use New.
type Client struct {
	settings  Settings
	clock     clock.PassiveClock
	transport *http.Transport
	service   httpc.Service
}

// New returns a client without open connections.
func New(settings Settings, clk clock.PassiveClock) *Client {
	breaker.NoBreakerFor(serviceName)
	client := &Client{settings: settings.withDefaults(), clock: clk}
	client.transport = client.newTransport()
	client.service = httpc.NewServiceWithClient(serviceName, &http.Client{
		Transport:     client.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})
	return client
}

func (client *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         client.dial,
		MaxConnsPerHost:     client.settings.Connections,
		MaxIdleConnsPerHost: client.settings.Connections,
		IdleConnTimeout:     client.settings.IdleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   client.settings.DisableKeepAlives,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (client *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, client.settings.DialTimeout)
	defer cancel()
	inner, err := client.settings.Dial(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &conn{Conn: inner, opened: client.clock.Now()}, nil
}

// Do sends the request with the body and returns the response once its header is received. The context also
// bounds the reading of the response body. Errors are of type *Error; bytes that are not the head of a response
// cause one. If the deadline of the context passes, all idle connections are closed, since the cause of a stalled
// connection often affects the others too.
func (client *Client) Do(ctx context.Context, request *http.Request, body []byte) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		trip := &roundTrip{minOpened: client.clock.Now().Add(-client.settings.ConnectionAge)}
		response, err := client.send(ctx, trip, request, body)
		if err == nil {
			return response, nil
		}
		failure := &Error{NotSent: trip.end(), Cause: trace.Wrap(err)}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			client.Close()
		}
		retry := failure.NotSent && trip.connReused() && attempt < maxAttempts && ctx.Err() == nil
		if !retry {
			return nil, failure
		}
		client.transport.CloseIdleConnections()
	}
}

// send sends the request once. Its body cannot be read again, even if it is empty, which keeps the transport of
// net/http from resending the request.
func (client *Client) send(ctx context.Context, trip *roundTrip, request *http.Request, body []byte) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, trip.trace())
	clone := request.Clone(ctx)
	clone.GetBody = nil
	clone.Body = io.NopCloser(bytes.NewReader(body))
	clone.ContentLength = int64(len(body))
	return client.service.DoRequest(clone)
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}
