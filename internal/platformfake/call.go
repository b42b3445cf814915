package platformfake

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// read runs a read operation with the configured delays and faults.
func (client *Client) read(ctx context.Context, operation func(fake *Platform) error) error {
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	if err := client.lockedRead(operation); err != nil {
		return err
	}
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	return nil
}

func (client *Client) lockedRead(operation func(fake *Platform) error) error {
	fake := client.fake
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.down || client.partitioned || client.failsRead() {
		return datastore.ErrUnavailable
	}
	return operation(fake)
}

func (client *Client) failsRead() bool {
	if client.failingReads > 0 {
		client.failingReads--
		return true
	}
	return client.fake.draw(false) != None
}

// write runs a write operation with the configured delays and faults. It returns datastore.ErrUnclear if the
// context ends after the operation was applied.
func (client *Client) write(ctx context.Context, operation func(fake *Platform) error) error {
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	if err := client.lockedWrite(operation); err != nil {
		return err
	}
	if client.wait(ctx) != nil {
		return datastore.ErrUnclear
	}
	return nil
}

func (client *Client) lockedWrite(operation func(fake *Platform) error) error {
	fake := client.fake
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.down || client.partitioned {
		return datastore.ErrUnavailable
	}
	switch client.nextWriteFault() {
	case Unavailable:
		return datastore.ErrUnavailable
	case UnclearWithoutEffect:
		return datastore.ErrUnclear
	case UnclearLate:
		fake.delayedWrites = append(fake.delayedWrites, func() { _ = operation(fake) })
		return datastore.ErrUnclear
	case UnclearWithEffect:
		_ = operation(fake)
		return datastore.ErrUnclear
	default:
		return operation(fake)
	}
}

func (client *Client) nextWriteFault() Fault {
	if len(client.writeFaults) == 0 {
		return client.fake.draw(true)
	}
	next := client.writeFaults[0]
	client.writeFaults = client.writeFaults[1:]
	return next
}

// draw returns the random fault of one call. The caller must hold the mutex.
func (fake *Platform) draw(write bool) Fault {
	if fake.rates == (Rates{}) {
		return None
	}
	return fake.rates.draw(fake.random.Float64(), write)
}

// wait blocks for the configured delay, or returns the error of the context if that ends first.
func (client *Client) wait(ctx context.Context) error {
	delay := client.fake.delay()
	if delay <= 0 {
		return ctx.Err()
	}
	timer := client.fake.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
