package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// receivedMark is a mark of a peer with the time at which it was received.
type receivedMark struct {
	mark       *peerpb.Mark
	receivedAt time.Time
}

// mark returns the time as a mark of this process. The caller holds the mutex.
func (node *Node) mark(now time.Time) *peerpb.Mark {
	elapsed := now.Sub(node.started) / time.Microsecond
	return &peerpb.Mark{Process: node.processID, Time: uint64(elapsed) + 1}
}

// sentNotBefore returns a lower bound of the time at which the request was created, derived from the mark of this
// process that it contains. Without one it returns the zero time. The time of arrival is no such bound: a request
// may be delayed in the network for long, so that the states in it are older than they seem. The caller holds the
// mutex.
func (node *Node) sentNotBefore(request *peerpb.ExchangeRequest, now time.Time) time.Time {
	mark := request.GetMark()
	if mark.GetTime() == 0 || mark.GetProcess() != node.processID {
		return time.Time{}
	}
	bound := node.started.Add(durationOf(mark.GetTime()-1, time.Microsecond)).Add(durationOf(request.GetMarkAge(), time.Microsecond))
	if bound.After(now) {
		return now
	}
	return bound
}

// addTo adds the mark and its age to a request to the peer.
func (receivedMark receivedMark) addTo(request *peerpb.ExchangeRequest, now time.Time) {
	if receivedMark.mark == nil {
		return
	}
	request.Mark = receivedMark.mark
	request.MarkAge = uint64(max(0, now.Sub(receivedMark.receivedAt)) / time.Microsecond)
}
