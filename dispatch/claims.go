package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/request"
)

// Claims keeps non-idempotent calls from running twice. *claim.Store implements it.
type Claims interface {
	// Claim records that the request is about to be sent. It returns a ticket to send, or the
	// recorded answer, or an *outcome.Error.
	Claim(ctx context.Context, req request.Request) (claim.Ticket, *claim.Response, error)
	// Find returns the recorded answer or the *outcome.Error of an earlier sending, or nothing.
	Find(ctx context.Context, req request.Request) (*claim.Response, error)
	// Complete records the whole answer.
	Complete(ctx context.Context, ticket claim.Ticket, answer claim.Response)
	// Lose records that the request ended without a known answer.
	Lose(ctx context.Context, ticket claim.Ticket)
	// Release gives up a claim whose request provably did not run.
	Release(ctx context.Context, ticket claim.Ticket)
}
