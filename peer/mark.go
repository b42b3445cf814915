package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// ticket is a mark of a peer with the time at which it came.
type ticket struct {
	mark *peerpb.Mark
	came time.Time
}

// mark returns the present time as a mark of this process. The caller holds the mutex.
func (node *Node) mark(now time.Time) *peerpb.Mark {
	since := now.Sub(node.began) / time.Microsecond
	return &peerpb.Mark{Process: node.process, Time: uint64(since) + 1}
}

// madeAfter returns a time at which the request was not yet made, or the zero time if it proves none.
// A request may come long after it was made, when the network held it back, so the time of its
// arrival says nothing of the states in it. The caller holds the mutex.
func (node *Node) madeAfter(request *peerpb.ExchangeRequest, now time.Time) time.Time {
	mark := request.GetMark()
	if mark.GetTime() == 0 || mark.GetProcess() != node.process {
		return time.Time{}
	}
	made := node.began.Add(units(mark.GetTime()-1, time.Microsecond)).Add(units(request.GetMarkAge(), time.Microsecond))
	if made.After(now) {
		return now
	}
	return made
}

// show puts the peer's newest mark into a request.
func (ticket ticket) show(request *peerpb.ExchangeRequest, now time.Time) {
	if ticket.mark == nil {
		return
	}
	request.Mark = ticket.mark
	request.MarkAge = uint64(max(0, now.Sub(ticket.came)) / time.Microsecond)
}
