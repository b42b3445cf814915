package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
)

// Claims prevents non-idempotent calls from running twice. *claim.Store implements it.
type Claims interface {
	// Claim records that the request is about to be sent. It returns a ticket if the request may be sent, or
	// the recorded response, or an *outcome.Error.
	Claim(ctx context.Context, req request.Request) (claim.Ticket, *claim.Response, error)
	// Find returns the recorded response or the *outcome.Error of an earlier request with the same key, or nil
	// if there is none.
	Find(ctx context.Context, req request.Request) (*claim.Response, error)
	// Complete records the whole response.
	Complete(ctx context.Context, ticket claim.Ticket, response claim.Response)
	// Lose records that the request ended without a known response.
	Lose(ctx context.Context, ticket claim.Ticket)
	// Release releases the claim of a request that provably did not run.
	Release(ctx context.Context, ticket claim.Ticket)
}
