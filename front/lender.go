package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/lending"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// maxLenders is the largest number of daemons that are asked to serve one request.
	maxLenders = 3
	// remoteLenderCost is added to the score of a daemon of another data centre, which is otherwise the number of requests
	// that it serves for this one.
	remoteLenderCost = 4.0
)

// lender passes requests on through daemons that reach the replicas.
type lender struct {
	daemon *Daemon
	client *lending.Client
	// borrowed tracks the requests that other daemons serve.
	borrowed *lending.Borrowed
}

func newLender(daemon *Daemon) *lender {
	return &lender{
		daemon:   daemon,
		client:   lending.NewClient(daemon.settings.Name, &http.Client{Transport: peerTransport()}),
		borrowed: lending.NewBorrowed(),
	}
}

// CutOff reports whether this daemon reaches no replica.
func (lender *lender) CutOff() bool {
	_, cutOff := lender.daemon.paths.IsCutOff()
	return cutOff
}

// AnyDoubted reports whether this daemon doubts that it reaches some replica.
func (lender *lender) AnyDoubted() bool {
	return lender.daemon.paths.AnyDoubted()
}

// Path returns the state of the path to the replica.
func (lender *lender) Path(replica topology.Incarnation, address string) reach.State {
	return lender.daemon.paths.State(platform.ConnectionKey(replica, address), lender.daemon.clock.Now())
}

// Lend sends the request to one daemon after the other until one takes it.
func (lender *lender) Lend(ctx context.Context, request *exchange.Request, budget time.Duration, allowance relay.Allowance) (*relay.LentReply, error) {
	var last error = exchange.ErrNotSent
	for _, peer := range lender.chooseFor(request, allowance) {
		lentContext, finish := lender.begin(ctx, peer, allowance)
		reply, err := lender.client.Send(lentContext, peer.Address, request, budget, allowance)
		event.RequestLent.LogError(err, "Request", request.Metadata.ID, "Daemon", peer.Name, "ResumeAfter", allowance.ResumeAfter)
		if err == nil {
			reply.Daemon = peer.Name
			reply.Body = &lentBody{reply.Body, lentContext, finish}
			lender.daemon.meter.Count(meter.RequestsLent, meter.Labels{}, 1)
			return reply, nil
		}
		finish()
		last = err
		if ctx.Err() != nil || !isTransient(err) {
			return nil, err
		}
	}
	return nil, last
}

// isTransient reports whether another daemon may serve the request that one did not: it was not sent, or refused because of
// the state of that daemon.
func isTransient(err error) bool {
	if errors.Is(err, exchange.ErrNotSent) {
		return true
	}
	refusal := relay.AsRefusal(err)
	if refusal == nil || !refusal.NotRun() {
		return false
	}
	switch refusal.Failure.Kind {
	case outcome.Stopping, outcome.NotReady, outcome.UpstreamRefused:
		return true
	default:
		return false
	}
}

// chooseFor returns the daemons to ask for the request, the best first, without those whose build would not carry out all of it.
func (lender *lender) chooseFor(request *exchange.Request, allowance relay.Allowance) []mesh.Peer {
	least := leastVersion(request, allowance)
	return slices.DeleteFunc(lender.choose(), func(peer mesh.Peer) bool { return lender.daemon.protocols.Version(peer.Name) < least })
}

// leastVersion returns the first version of the protocol whose daemons carry out the request as stated.
func leastVersion(request *exchange.Request, allowance relay.Allowance) protocol.Version {
	switch {
	case allowance.ResumeAfter == exchange.NewEventID(0):
		return protocol.EventZero
	case request.Account != nil:
		return protocol.Accounts
	default:
		return protocol.Untold
	}
}

// choose returns the daemons to ask, the best first: with few requests of this one, and of the same data centre.
func (lender *lender) choose() []mesh.Peer {
	type scored struct {
		mesh.Peer
		score float64
	}
	now := lender.daemon.clock.Now()
	var candidates []scored
	for _, peer := range lender.daemon.mesh.Live() {
		if peer.Leaving || peer.CutOff || lender.borrowed.Silent(peer.Name, now) {
			continue
		}
		score := float64(lender.borrowed.Count(peer.Name)) + rand.Float64()
		if peer.DataCentre != lender.daemon.settings.DataCentre {
			score += remoteLenderCost
		}
		candidates = append(candidates, scored{peer, score})
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	chosen := make([]mesh.Peer, 0, maxLenders)
	for _, candidate := range candidates[:min(len(candidates), maxLenders)] {
		chosen = append(chosen, candidate.Peer)
	}
	return chosen
}

// begin records that the daemon is sent a request. It returns the context of the request, which ends with relay.ErrSilent if the
// daemon falls silent and the request may be sent again, and a function that records the end of the request, once.
func (lender *lender) begin(ctx context.Context, peer mesh.Peer, allowance relay.Allowance) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	var move func() bool
	if allowance.Repeat != nil {
		move = func() bool {
			if ctx.Err() != nil || !allowance.Repeat() {
				return false
			}
			cancel(relay.ErrSilent)
			return true
		}
	}
	end := lender.borrowed.Begin(lending.Lender{Name: peer.Name, Address: peer.Address}, move, lender.daemon.clock.Now())
	return ctx, sync.OnceFunc(func() {
		end()
		cancel(nil)
	})
}

// lentBody is the body of a response of another daemon.
type lentBody struct {
	io.ReadCloser
	// ctx is that of the exchange, and finish ends it.
	ctx    context.Context
	finish func()
}

// Read fails with relay.ErrSilent if the other daemon fell silent.
func (body *lentBody) Read(into []byte) (int, error) {
	n, err := body.ReadCloser.Read(into)
	if err != nil && errors.Is(context.Cause(body.ctx), relay.ErrSilent) {
		return n, relay.ErrSilent
	}
	return n, err
}

// Close ends the exchange with the other daemon.
func (body *lentBody) Close() error {
	err := body.ReadCloser.Close()
	body.finish()
	return err
}

// newLendingHandler returns the handler of requests of other daemons' clients.
func (daemon *Daemon) newLendingHandler() *lending.Handler {
	return lending.NewHandler(daemon.relay, platform.DecodeRequestHeader, daemon.clock, daemon.protocols,
		func(from string, request *exchange.Request, failure *outcome.Error) {
			daemon.meter.Count(meter.LentRequestsServed, meter.Labels{}, 1)
			if failure == nil {
				event.LentRequestServed.Log("Request", request.Metadata.ID, "Daemon", from)
				return
			}
			event.LentRequestServed.Log("Request", request.Metadata.ID, "Daemon", from, "Failure", failure.Error())
		})
}
