package platformfake

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// read runs a reading call with delays and faults.
func (client *Client) read(ctx context.Context, effect func(fake *Platform) error) error {
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	if err := client.lockedRead(effect); err != nil {
		return err
	}
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	return nil
}

func (client *Client) lockedRead(effect func(fake *Platform) error) error {
	fake := client.fake
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.down || client.cut || client.refusesRead() {
		return datastore.ErrUnavailable
	}
	return effect(fake)
}

func (client *Client) refusesRead() bool {
	if client.reads > 0 {
		client.reads--
		return true
	}
	return client.fake.draw(false) != None
}

// write runs a writing call with delays and faults. A context that ends after the effect makes it unclear.
func (client *Client) write(ctx context.Context, effect func(fake *Platform) error) error {
	if client.wait(ctx) != nil {
		return datastore.ErrUnavailable
	}
	if err := client.lockedWrite(effect); err != nil {
		return err
	}
	if client.wait(ctx) != nil {
		return datastore.ErrUnclear
	}
	return nil
}

func (client *Client) lockedWrite(effect func(fake *Platform) error) error {
	fake := client.fake
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.down || client.cut {
		return datastore.ErrUnavailable
	}
	switch client.nextWrite() {
	case Unavailable:
		return datastore.ErrUnavailable
	case UnclearWithoutEffect:
		return datastore.ErrUnclear
	case UnclearLate:
		fake.late = append(fake.late, func() { _ = effect(fake) })
		return datastore.ErrUnclear
	case UnclearWithEffect:
		_ = effect(fake)
		return datastore.ErrUnclear
	default:
		return effect(fake)
	}
}

func (client *Client) nextWrite() Fault {
	if len(client.writes) == 0 {
		return client.fake.draw(true)
	}
	next := client.writes[0]
	client.writes = client.writes[1:]
	return next
}

// draw returns the random fault of one call. It is called with the mutex held.
func (fake *Platform) draw(write bool) Fault {
	if fake.rates == (Rates{}) {
		return None
	}
	return fake.rates.draw(fake.random.Float64(), write)
}

// wait lets the delay pass, or returns the error of the context.
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
