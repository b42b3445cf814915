package lending

import (
	"context"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/requestbody"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// maxLent is the largest number of lent requests that a daemon serves at once, so that those of its own clients keep its
	// memory.
	maxLent = 256
	// maxRequestBytes bounds a lent request.
	maxRequestBytes = 8 << 20
	// requestTimeout is the time in which a lent request must arrive; daemons send it at once.
	requestTimeout = 10 * time.Second
	// retryAfterFull is the Retry-After value of a refused lent request.
	retryAfterFull = 200 * time.Millisecond
)

// Relay serves lent requests.
type Relay interface {
	// ServeLent answers the request of another daemon's client through the sink, or returns why it did not.
	ServeLent(ctx context.Context, request *exchange.Request, allowance relay.Allowance, sink relay.Sink) (relay.Summary, *outcome.Error)
}

// Handler serves the requests of other daemons' clients. Use NewHandler.
type Handler struct {
	relay  Relay
	decode func(sent http.Header) (http.Header, exchange.Metadata)
	clock  clock.WithTicker
	// held bounds the bytes held of requests; nil means no bound.
	held *bytebudget.Budget
	// protocols keeps the versions of the protocol that other daemons tell.
	protocols *protocol.Registry
	// onServed is called after each request.
	onServed func(daemon string, request *exchange.Request, failure *outcome.Error)
	inFlight atomic.Int64
}

// NewHandler returns a handler. decode returns the headers to pass on and the metadata of a request, and onServed is called after
// each request with its failure, or nil. The versions of the protocol that other daemons tell are recorded in protocols.
func NewHandler(relay Relay, decode func(sent http.Header) (http.Header, exchange.Metadata), clk clock.WithTicker, protocols *protocol.Registry,
	onServed func(daemon string, request *exchange.Request, failure *outcome.Error),
) *Handler {
	return &Handler{relay: relay, decode: decode, clock: clk, protocols: protocols, onServed: onServed}
}

// Hold makes the handler draw on the budget for the requests that it reads. It must be called before the first request.
func (handler *Handler) Hold(held *bytebudget.Budget) {
	handler.held = held
}

// InFlight returns the number of lent requests that are not answered yet.
func (handler *Handler) InFlight() int64 {
	return handler.inFlight.Load()
}

// ServeHTTP serves one lent request. It panics with http.ErrAbortHandler to abort a response that has begun.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	count := handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	sink := &sink{writer: writer, controller: http.NewResponseController(writer)}
	if count > maxLent {
		sink.refuse(outcome.New(outcome.NotReady, "the daemon serves too many requests of others").WithRetryAfter(retryAfterFull), 0)
		return
	}
	limits := requestbody.Limits{Bytes: maxRequestBytes, Timeout: requestTimeout, Held: handler.held}
	body, failure := requestbody.Read(writer, incoming, handler.clock, limits, outcome.New(outcome.CallerGone, "the request ended early"))
	defer body.Close()
	if failure != nil {
		sink.refuse(failure, 0)
		return
	}
	encoded := &lendingpb.Request{}
	if proto.Unmarshal(body.Content, encoded) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	handler.protocols.Observe(encoded.GetDaemon(), encoded.GetProtocol())
	request, allowance := handler.request(encoded)
	summary, failure := handler.relay.ServeLent(incoming.Context(), request, allowance, sink)
	handler.onServed(encoded.GetDaemon(), request, failure)
	if failure == nil {
		return
	}
	if sink.Begun() {
		panic(http.ErrAbortHandler)
	}
	sink.refuse(failure, summary.Runs)
}

// request decodes a request.
func (handler *Handler) request(encoded *lendingpb.Request) (*exchange.Request, relay.Allowance) {
	request := &exchange.Request{
		Method:  string(encoded.GetMethod()),
		Target:  string(encoded.GetTarget()),
		Host:    string(encoded.GetHost()),
		Path:    string(encoded.GetPath()),
		Body:    encoded.GetBody(),
		Arrived: handler.clock.Now(),
	}
	request.Header, request.Metadata = handler.decode(decodeHeader(encoded.GetHeader()))
	request.Metadata.Key = ""
	request.Account = decodeAccount(encoded)
	request.KeyChecked = encoded.GetKeyChecked()
	request.Metadata.ClientTimeout = time.Duration(encoded.GetBudget()) * time.Millisecond
	return request, relay.Allowance{
		Attempts:      int(encoded.GetAttempts()),
		Service:       string(encoded.GetService()),
		Release:       string(encoded.GetRelease()),
		ResumeAfter:   decodeResumeAfter(encoded),
		Configuration: encoded.GetConfiguration(),
	}
}

// decodeAccount returns the account of the request, which the daemon that received it has checked, or nil.
func decodeAccount(encoded *lendingpb.Request) *topology.Account {
	if encoded.GetAccount() == "" {
		return nil
	}
	account := &topology.Account{Name: encoded.GetAccount()}
	if priority := encoded.GetAccountPriority(); priority > 0 {
		account.Priority, account.HasPriority = int(min(priority-1, math.MaxInt32)), true
	}
	return account
}

// sink writes a response to the daemon that sent the request.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	begun      bool
	streaming  bool
	release    string
	runs       int
}

// NameSender is called before Head with the release of the replica and the number of those that may have run the request.
func (sink *sink) NameSender(release string, runs int) {
	sink.release, sink.runs = release, runs
}

// Head begins the response.
func (sink *sink) Head(status int, header http.Header, length int64) {
	sink.begun = true
	sink.streaming = length < 0
	sink.write(&lendingpb.Head{
		Status:      uint64(status),
		Header:      encodeHeader(header),
		EventStream: strings.HasPrefix(header.Get("Content-Type"), "text/event-stream"),
		Release:     []byte(sink.release),
		Runs:        uint64(sink.runs),
	})
}

// Write passes on a part of the body.
func (sink *sink) Write(part []byte) error {
	if _, err := sink.writer.Write(part); err != nil {
		return err
	}
	if !sink.streaming {
		return nil
	}
	return sink.controller.Flush()
}

// Begun reports whether Head was called.
func (sink *sink) Begun() bool { return sink.begun }

// refuse responds that the request was not answered.
func (sink *sink) refuse(failure *outcome.Error, runs int) {
	sink.write(&lendingpb.Head{
		Refusal:    failure.Kind.String(),
		Message:    failure.Message,
		RetryAfter: uint64(failure.RetryAfter.Milliseconds()),
		Runs:       uint64(runs),
		NotRun:     (&relay.Refusal{Failure: failure, Runs: runs}).NotRun(),
	})
}

// write writes the head. An error means that the other daemon has disconnected; nothing is left to do.
func (sink *sink) write(head *lendingpb.Head) {
	_, _ = protodelim.MarshalTo(sink.writer, head)
}
