package release

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// The retries of platform calls within one acceptance. The delay doubles with each of them: 100 ms, 200 ms and so on,
// 3.1 s in all.
const (
	maxAttempts = 6
	firstDelay  = 100 * time.Millisecond
)

// retry calls the idempotent function until it succeeds, fails with an error other than ErrUnavailable or ErrUnclear,
// or has used all attempts.
func (acceptance *acceptance) retry(ctx context.Context, call func() error) error {
	delay := firstDelay
	for attempt := 1; ; attempt++ {
		err := call()
		retryable := errors.Is(err, datastore.ErrUnavailable) || errors.Is(err, datastore.ErrUnclear)
		if !retryable || attempt == maxAttempts {
			return err
		}
		if sleep(ctx, acceptance.clock, delay) != nil {
			return err
		}
		delay *= 2
	}
}

// readHead returns the entry in force and the version of its row, with retries.
func (acceptance *acceptance) readHead(ctx context.Context) (entry Entry, version datastore.Version, err error) {
	err = acceptance.retry(ctx, func() error {
		entry, version, err = acceptance.head(ctx)
		return err
	})
	return entry, version, err
}

// readBase returns the state of the entry in force, with retries.
func (acceptance *acceptance) readBase(ctx context.Context, head Entry) (base InForce, err error) {
	err = acceptance.retry(ctx, func() error {
		base, _, err = acceptance.advance(ctx, InForce{}, head)
		return err
	})
	return base, err
}
