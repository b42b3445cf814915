package dispatch

import (
	"context"
	"sync"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// chaosDaemon is one incarnation of a daemon. Once it is killed, it no longer reaches engines or the claim
// store.
type chaosDaemon struct {
	*Dispatcher
	mutex  sync.Mutex
	killed bool
	end    context.CancelFunc
}

func (daemon *chaosDaemon) isKilled() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.killed
}

// chaosClaims drops the writes of a killed daemon.
type chaosClaims struct {
	*claim.Store
	daemon *chaosDaemon
}

func (claims chaosClaims) Complete(ctx context.Context, ticket claim.Ticket, response claim.Response) {
	if !claims.daemon.isKilled() {
		claims.Store.Complete(ctx, ticket, response)
	}
}

func (claims chaosClaims) Lose(ctx context.Context, ticket claim.Ticket) {
	if !claims.daemon.isKilled() {
		claims.Store.Lose(ctx, ticket)
	}
}

func (claims chaosClaims) Release(ctx context.Context, ticket claim.Ticket) {
	if !claims.daemon.isKilled() {
		claims.Store.Release(ctx, ticket)
	}
}

// chaosEngines blocks a killed daemon from the engines.
type chaosEngines struct {
	*fakeCluster
	daemon *chaosDaemon
}

func (engines chaosEngines) Generator(name string) (upstream.Generator, bool) {
	if engines.daemon.isKilled() {
		return nil, false
	}
	return engines.fakeCluster.Generator(name)
}

func (engines chaosEngines) Call(ctx context.Context, name string, req request.Request) (Response, error) {
	generator, ok := engines.Generator(name)
	if !ok {
		return Response{}, upstream.ErrNotSent
	}
	stream, err := generator.Generate(ctx, upstream.Generation{Request: req})
	if err != nil {
		return Response{}, err
	}
	defer closeStream(stream)
	response := Response{Status: 200, ContentType: "text/plain"}
	for range 3 {
		piece, err := stream.Next(ctx)
		if err != nil {
			return Response{}, err
		}
		response.Body = append(response.Body, piece.Data...)
	}
	return response, nil
}
