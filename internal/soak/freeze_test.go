package soak

import (
	"context"
	"net"
	"os"
)

// freeze holds back all traffic of a host, in both directions, until thaw delivers it late.
func (wires *wires) freeze(host string) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	wires.frozen[host] = make(chan struct{})
}

func (wires *wires) thaw(host string) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	if thawed, ok := wires.frozen[host]; ok {
		close(thawed)
		delete(wires.frozen, host)
	}
}

// heldBack returns the channel that is closed when a frozen host of the two goes on, or nil if neither is frozen.
func (wires *wires) heldBack(from, to string) <-chan struct{} {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	if thawed, ok := wires.frozen[from]; ok {
		return thawed
	}
	if thawed, ok := wires.frozen[to]; ok {
		return thawed
	}
	return nil
}

// hold waits until neither host is frozen.
func (wires *wires) hold(ctx context.Context, from, to string) error {
	for {
		thawed := wires.heldBack(from, to)
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

// hold keeps what was received from the reader while an end is frozen. The close of the other end is kept too.
func (cable *cable) hold() error {
	for {
		thawed := cable.wires.heldBack(cable.from, cable.to)
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-cable.closed:
			return net.ErrClosed
		case <-cable.read.passed():
			return os.ErrDeadlineExceeded
		}
	}
}
