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

// serviceName is the name of all exchanges at the HTTP library, whose breaker stays off:
// it would refuse by a rule of its own.
const serviceName = "bronzestall"

// headBytes bounds the status line and headers of an answer.
const headBytes = 64 << 10

// maxAttempts bounds how often an exchange is begun on a connection that turns out dead or too old.
const maxAttempts = 4

// Client makes exchanges with one address. It is safe for concurrent use. Use New.
type Client struct {
	settings  Settings
	clock     clock.PassiveClock
	transport *http.Transport
	service   httpc.Service
}

// New returns a client without connections.
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

		MaxResponseHeaderBytes: headBytes,
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

// Do sends the request with the body and returns the answer once its head is there.
// The context bounds the reading of the answer too. A failure is an *Error. After an exchange that ran out
// of time all kept connections are dropped, since what made one silent has often made all so.
func (client *Client) Do(ctx context.Context, request *http.Request, body []byte) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		deal := &exchange{oldest: client.clock.Now().Add(-client.settings.ConnectionAge)}
		response, err := client.try(ctx, deal, request, body)
		if err == nil {
			return response, nil
		}
		failure := &Error{NotSent: deal.unsent(), Cause: trace.Wrap(err)}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			client.Close()
		}
		again := failure.NotSent && deal.stale() && attempt < maxAttempts && ctx.Err() == nil
		if !again {
			return nil, failure
		}
		client.transport.CloseIdleConnections()
	}
}

// try sends the request once. A body that cannot be read again, even an empty one, is what
// keeps the transport of net/http from repeating the request.
func (client *Client) try(ctx context.Context, deal *exchange, request *http.Request, body []byte) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, deal.trace())
	attempt := request.Clone(ctx)
	attempt.GetBody = nil
	attempt.Body = io.NopCloser(bytes.NewReader(body))
	attempt.ContentLength = int64(len(body))
	return client.service.DoRequest(attempt)
}

// Close closes the connections that no exchange uses.
func (client *Client) Close() {
	client.transport.CloseIdleConnections()
}
