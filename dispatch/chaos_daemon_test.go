package dispatch

import (
	"context"
	"sync"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// chaosDaemon is one run of a daemon. Once it is killed, nothing of it reaches anybody.
type chaosDaemon struct {
	*Dispatcher
	mutex  sync.Mutex
	killed bool
	end    context.CancelFunc
}

func (daemon *chaosDaemon) dead() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.killed
}

// chaosClaims drops what a killed daemon would write.
type chaosClaims struct {
	*claim.Store
	daemon *chaosDaemon
}

func (claims chaosClaims) Complete(ctx context.Context, ticket claim.Ticket, answer claim.Response) {
	if !claims.daemon.dead() {
		claims.Store.Complete(ctx, ticket, answer)
	}
}

func (claims chaosClaims) Lose(ctx context.Context, ticket claim.Ticket) {
	if !claims.daemon.dead() {
		claims.Store.Lose(ctx, ticket)
	}
}

func (claims chaosClaims) Release(ctx context.Context, ticket claim.Ticket) {
	if !claims.daemon.dead() {
		claims.Store.Release(ctx, ticket)
	}
}

// chaosEngines keeps a killed daemon from the engines.
type chaosEngines struct {
	*fakeWorld
	daemon *chaosDaemon
}

func (engines chaosEngines) Generator(name string) (upstream.Generator, bool) {
	if engines.daemon.dead() {
		return nil, false
	}
	return engines.fakeWorld.Generator(name)
}

func (engines chaosEngines) Call(ctx context.Context, name string, req request.Request) (Answer, error) {
	generator, ok := engines.Generator(name)
	if !ok {
		return Answer{}, upstream.ErrNotSent
	}
	stream, err := generator.Generate(ctx, upstream.Generation{Request: req})
	if err != nil {
		return Answer{}, err
	}
	defer closeStream(stream)
	answer := Answer{Status: 200, ContentType: "text/plain"}
	for range 3 {
		piece, err := stream.Next(ctx)
		if err != nil {
			return Answer{}, err
		}
		answer.Body = append(answer.Body, piece.Data...)
	}
	return answer, nil
}
