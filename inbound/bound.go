package inbound

import (
	"cmp"
	"net"
	"slices"
)

// shedDivisor is the part of the connections that are closed at once when there are too many, so that not each new one makes the tracker
// look through all of them.
const shedDivisor = 32

// Bound makes the tracker keep at most so many connections open. When there are more, it closes some of the address that has the most, of
// those that serve no request that was read whole; those go first that were opened, or ended a response, the longest ago. If all serve
// requests, it closes the new one. The server must not serve yet.
func (connections *Connections) Bound(most int) {
	connections.most = most
}

// Shed returns how many connections were closed because there were too many.
func (connections *Connections) Shed() int64 {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.shed
}

// Open returns the number of open connections.
func (connections *Connections) Open() int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return len(connections.open)
}

// add tracks a new connection, and closes others, or it, if there are too many.
func (connections *Connections) add(added *trackedConn) {
	for _, next := range connections.admit(added) {
		// It may be closed already.
		_ = next.Conn.Close()
	}
}

// admit tracks a new connection and returns those to close, which it tracks no more.
func (connections *Connections) admit(added *trackedConn) []*trackedConn {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	var closing []*trackedConn
	if connections.most > 0 && len(connections.open) >= connections.most {
		closing = connections.dispensable(max(connections.most/shedDivisor, 1))
		if len(closing) == 0 {
			closing = []*trackedConn{added}
		}
	}
	connections.open[added] = true
	for _, next := range closing {
		delete(connections.open, next)
	}
	connections.shed += int64(len(closing))
	return closing
}

// dispensable returns at most so many connections that serve no request, of the address that has the most of these. The mutex is held.
func (connections *Connections) dispensable(most int) []*trackedConn {
	byAddress := map[string][]*trackedConn{}
	var largest []*trackedConn
	for tracked := range connections.open {
		if tracked.serving.Load() {
			continue
		}
		list := append(byAddress[tracked.address], tracked)
		byAddress[tracked.address] = list
		if len(list) > len(largest) {
			largest = list
		}
	}
	slices.SortFunc(largest, func(a, b *trackedConn) int { return cmp.Compare(a.used.Load(), b.used.Load()) })
	return largest[:min(most, len(largest))]
}

// hostOf returns the address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}
