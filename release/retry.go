package release

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// The repetition of calls to the platform within one acceptance: 100 ms, 200 ms and so on, 3.1 s in all.
const (
	maxAttempts   = 6
	firstDelay = 100 * time.Millisecond
)

// retry repeats a call that is harmless to repeat while the platform is away or unclear.
func (acceptance *acceptance) retry(ctx context.Context, call func() error) error {
	delay := firstDelay
	for attempt := 1; ; attempt++ {
		err := call()
		again := errors.Is(err, datastore.ErrUnavailable) || errors.Is(err, datastore.ErrUnclear)
		if !again || attempt == maxAttempts {
			return err
		}
		if sleep(ctx, acceptance.clock, delay) != nil {
			return err
		}
		delay *= 2
	}
}

// readHead returns the entry in force and the version of its row.
func (acceptance *acceptance) readHead(ctx context.Context) (entry Entry, version uint64, err error) {
	err = acceptance.retry(ctx, func() error {
		entry, version, err = acceptance.head(ctx)
		return err
	})
	return entry, version, err
}

// readBase returns the state of the entry in force.
func (acceptance *acceptance) readBase(ctx context.Context, head Entry) (base InForce, err error) {
	err = acceptance.retry(ctx, func() error {
		base, _, err = acceptance.advance(ctx, InForce{}, head)
		return err
	})
	return base, err
}
