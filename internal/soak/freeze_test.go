package soak

import (
	"context"
	"net"
	"os"
)

// freeze holds back all traffic of a host, in both directions, until thaw delivers it.
func (network *network) freeze(host string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.frozen[host] = make(chan struct{})
}

func (network *network) thaw(host string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	if thawed, ok := network.frozen[host]; ok {
		close(thawed)
		delete(network.frozen, host)
	}
}

// thawSignal returns the channel that is closed when a frozen one of two hosts is thawed, or nil if neither is frozen.
func (network *network) thawSignal(from, to string) <-chan struct{} {
	network.lock.Lock()
	defer network.lock.Unlock()
	if thawed, ok := network.frozen[from]; ok {
		return thawed
	}
	if thawed, ok := network.frozen[to]; ok {
		return thawed
	}
	return nil
}

// waitUntilThawed waits until neither host is frozen.
func (network *network) waitUntilThawed(ctx context.Context, from, to string) error {
	for {
		thawed := network.thawSignal(from, to)
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitUntilThawed keeps received data, and the close of the other end, from the reader while an end is frozen.
func (conn *conn) waitUntilThawed() error {
	for {
		thawed := conn.network.thawSignal(conn.from, conn.to)
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-conn.closed:
			return net.ErrClosed
		case <-conn.readDeadline.expired():
			return os.ErrDeadlineExceeded
		}
	}
}
