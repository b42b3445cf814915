package relay

import (
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/exchange"
)

// lostError returns the error of a response that broke off, or that was given up, for the reason; nil means none.
func lostError(reason error) error {
	if reason == nil {
		return exchange.ErrLost
	}
	return fmt.Errorf("%w: %w", exchange.ErrLost, reason)
}

// brokeOff reports whether the attempt that failed with the error lost its connection. A response that is over a limit or invalid
// came from a replica that lives.
func brokeOff(err error) bool {
	return !errors.Is(err, exchange.ErrInvalidResponse) && !errors.Is(err, errLongEvent) && !errors.Is(err, errLongResponse)
}
