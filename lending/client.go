package lending

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/responsehead"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/relay"
)

// Path is the path at which daemons serve lent requests.
const Path = "/bronzestall.lending.Lending/Serve"

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 128 << 10

// Client sends requests to daemons that serve them. It is safe for concurrent use. Use NewClient.
type Client struct {
	daemon string
	http   *http.Client
}

// NewClient returns a client in the name of the daemon.
func NewClient(daemon string, client *http.Client) *Client {
	return &Client{daemon: daemon, http: client}
}

// Send sends the request to the daemon at the address and returns the response once its head was read. It fails with
// exchange.ErrNotSent, exchange.ErrLost or a *relay.Refusal.
func (client *Client) Send(ctx context.Context, address string, request *exchange.Request, budget time.Duration, allowance relay.Allowance) (*relay.LentReply, error) {
	content, err := proto.Marshal(client.encode(request, budget, allowance))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", exchange.ErrNotSent, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", exchange.ErrNotSent, err)
	}
	response, err := client.http.Do(outgoing)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", exchange.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", exchange.ErrLost, err)
	}
	reply, err := decodeResponse(response)
	if err != nil {
		return nil, err
	}
	if err := verify(reply); err != nil {
		_ = reply.Body.Close()
		return nil, err
	}
	return reply, nil
}

// encode encodes the request.
func (client *Client) encode(request *exchange.Request, budget time.Duration, allowance relay.Allowance) *lendingpb.Request {
	encoded := &lendingpb.Request{
		Method:        []byte(request.Method),
		Target:        []byte(request.Target),
		Host:          []byte(request.Host),
		Path:          []byte(request.Path),
		Header:        encodeHeader(request.Header),
		Body:          request.Body,
		Budget:        uint64(max(budget.Milliseconds(), 1)),
		Attempts:      uint64(max(allowance.Attempts, 1)),
		Service:       []byte(allowance.Service),
		Release:       []byte(allowance.Release),
		Configuration: allowance.Configuration,
		Daemon:        client.daemon,
		Protocol:      int64(protocol.Current),
	}
	encoded.KeyChecked = request.KeyChecked
	encodeResumeAfter(encoded, allowance.ResumeAfter)
	if account := request.Account; account != nil {
		encoded.Account = account.Name
		if account.HasPriority {
			encoded.AccountPriority = uint64(max(account.Priority, 0)) + 1
		}
	}
	return encoded
}

// decodeResponse reads the head of a response. Daemons always frame its body: the end of one that ends with its connection cannot be
// told from a lost connection.
func decodeResponse(response *http.Response) (*relay.LentReply, error) {
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, decodeStatus(response)
	}
	if !responsehead.IsFramed(response) {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: the response of a daemon has neither a length nor a chunked encoding", exchange.ErrLost)
	}
	reader := bufio.NewReader(response.Body)
	head := &lendingpb.Head{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHeadBytes}).UnmarshalFrom(reader, head); err != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %w", exchange.ErrLost, err)
	}
	if head.GetRefusal() != "" {
		_ = response.Body.Close()
		return nil, decodeRefusal(head)
	}
	return &relay.LentReply{
		Reply: &exchange.Reply{
			Status:      int(head.GetStatus()),
			Header:      decodeHeader(head.GetHeader()),
			Signed:      true,
			EventStream: head.GetEventStream(),
			Length:      -1,
			Body:        headlessBody{reader, response.Body},
		},
		Release: string(head.GetRelease()),
		Runs:    int(head.GetRuns()),
	}, nil
}

// verify returns the error for a response that no replica can have given in the protocol. A daemon of an earlier build may pass one on.
func verify(reply *relay.LentReply) error {
	if !responsehead.IsFinalStatus(reply.Status) {
		return fmt.Errorf("%w: a daemon passed on the status %d", exchange.ErrLost, reply.Status)
	}
	for name := range reply.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a daemon passed on a field with the name %q", exchange.ErrLost, name)
		}
	}
	return nil
}

// decodeStatus returns the error for a response without a head. A daemon that has no such path, or cannot decode the request, has
// not run it; after any other status the request may have run.
func decodeStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusBadRequest:
		return &relay.Refusal{Failure: outcome.New(outcome.NotReady, "a daemon serves no others: %s", response.Status)}
	default:
		return fmt.Errorf("%w: status %s of a daemon", exchange.ErrLost, response.Status)
	}
}

// decodeRefusal decodes a refusal. One of an unknown kind may have run, unless it states that it has not.
func decodeRefusal(head *lendingpb.Head) error {
	kind := outcome.Internal
	if head.GetNotRun() {
		kind = outcome.NotReady
	}
	for _, known := range outcome.Kinds() {
		if known.String() == head.GetRefusal() {
			kind = known
		}
	}
	failure := outcome.New(kind, "%s", head.GetMessage()).WithRetryAfter(time.Duration(head.GetRetryAfter()) * time.Millisecond)
	return &relay.Refusal{Failure: failure, Runs: int(head.GetRuns())}
}

// headlessBody is the body of a response after its head, which was read through the reader.
type headlessBody struct {
	io.Reader
	io.Closer
}
