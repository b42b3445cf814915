package soak

import (
	"context"
	"net"
	"os"
)

// freeze holds back all traffic of a host, in both directions, until unfreeze delivers it.
func (network *network) freeze(host string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.frozen[host] = make(chan struct{})
}

func (network *network) unfreeze(host string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	if unfrozen, ok := network.frozen[host]; ok {
		close(unfrozen)
		delete(network.frozen, host)
	}
}

// unfreezeSignal returns the channel that is closed when a frozen one of two hosts is unfrozen, or nil if neither is
// frozen.
func (network *network) unfreezeSignal(from, to string) <-chan struct{} {
	network.lock.Lock()
	defer network.lock.Unlock()
	if unfrozen, ok := network.frozen[from]; ok {
		return unfrozen
	}
	if unfrozen, ok := network.frozen[to]; ok {
		return unfrozen
	}
	return nil
}

// waitUntilUnfrozen waits until neither host is frozen.
func (network *network) waitUntilUnfrozen(ctx context.Context, from, to string) error {
	for {
		unfrozen := network.unfreezeSignal(from, to)
		if unfrozen == nil {
			return nil
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitUntilUnfrozen keeps received data, and the close of the other end, from the reader while an end is frozen.
func (conn *conn) waitUntilUnfrozen() error {
	for {
		unfrozen := conn.network.unfreezeSignal(conn.from, conn.to)
		if unfrozen == nil {
			return nil
		}
		select {
		case <-unfrozen:
		case <-conn.closed:
			return net.ErrClosed
		case <-conn.readDeadline.expired():
			return os.ErrDeadlineExceeded
		}
	}
}
