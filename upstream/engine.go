package upstream

import (
	"context"
	"errors"
)

// The failures of an order. Each tells whether the engine can have got it.
var (
	// ErrNotSent means that no byte of the call reached the engine.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoResponse means that the engine may have got the call.
	ErrNoResponse = errors.New("call may have been received")
)

// Engine takes orders and tells its state.
type Engine interface {
	// State returns the state of the engine now.
	State(ctx context.Context) (State, error)
	// Send gives an order. It fails with ErrNotSent or ErrNoAnswer.
	Send(ctx context.Context, order Order) (Verdict, error)
}
