package upstream

import (
	"context"
	"errors"
)

// The errors of a call. They differ in whether the engine may have received the call.
var (
	// ErrNotSent means that no byte of the call reached the engine.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoResponse means that no valid response arrived and that the engine may have received the call.
	ErrNoResponse = errors.New("no valid response; call may have been received")
)

// Engine executes orders and reports its state.
type Engine interface {
	// State returns the current state of the engine.
	State(ctx context.Context) (State, error)
	// Send sends an order and returns the verdict of the engine. It fails with ErrNotSent or ErrNoResponse.
	Send(ctx context.Context, order Order) (Verdict, error)
}
