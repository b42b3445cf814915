// Package lifetime ends the contexts of requests together with what serves them.
package lifetime

import "context"

// Join returns a copy of the context that also ends with the lifetime, by the same cause, and a function that releases it. The
// function must be called once the context is not used any more.
func Join(ctx, lifetime context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(lifetime, func() { cancel(context.Cause(lifetime)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
