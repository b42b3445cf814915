package peer

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/protocol"
)

// unreachableFailures is the number of consecutive failed calls after which a peer is logged as unreachable.
const unreachableFailures = 3

// task is one exchange to make.
type task struct {
	member Member
	// all requests all records of the member's data centre.
	all bool
}

// exchange calls the member and merges its response.
func (node *Node) exchange(ctx context.Context, task task) {
	requestedAt := node.clock.Now()
	request := node.newRequest(task)
	ctx, cancel := node.withTimeout(ctx)
	response, err := node.client.exchange(ctx, task.member.Address, request)
	cancel()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	link := node.link(task.member.Name)
	link.inFlight = false
	if err != nil {
		link.recordFailure(now, node.settings.Interval)
		if link.failures == unreachableFailures {
			event.PeerUnreachable.Log("Peer", task.member.Name, "Cause", err.Error())
		}
		return
	}
	if link.failures >= unreachableFailures {
		event.PeerReachable.Log("Peer", task.member.Name)
	}
	link.recordSuccess(now)
	link.newestMark = receivedMark{mark: response.GetMark(), receivedAt: now}
	node.handleResponse(link, response, requestedAt, now)
}

// newRequest returns the request of an exchange.
func (node *Node) newRequest(task task) *peerpb.ExchangeRequest {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.self.lastSeen = now
	self := node.self.record
	request := &peerpb.ExchangeRequest{Sender: self.digest(), All: task.all, Protocol: int64(protocol.Current)}
	link := node.link(task.member.Name)
	link.newestMark.addTo(request, now)
	if ackedVersion := link.ackedVersion; ackedVersion < self.Version {
		request.Record = node.self.difference(ackedVersion, now)
	}
	for name, entry := range node.others {
		if name == task.member.Name || task.all && entry.record.DataCentre == task.member.DataCentre {
			request.Known = append(request.Known, entry.record.digest())
		}
	}
	return request
}

// handleResponse merges the response to an exchange that was requested at the given time, which is therefore a
// lower bound of the time at which the response was created. The caller holds the mutex.
func (node *Node) handleResponse(link *link, response *peerpb.ExchangeResponse, requestedAt, now time.Time) {
	link.updateAcked(response.GetKnown(), node.self.record)
	node.raiseIncarnation(response.GetKnown())
	for _, record := range response.GetRecords() {
		node.merge(record, requestedAt)
	}
	node.markSeen(response.GetSender(), now)
	node.protocols.Observe(response.GetSender().GetName(), response.GetProtocol())
}

// handleRequest serves an exchange that another daemon requested.
func (node *Node) handleRequest(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.self.lastSeen = now
	sender := request.GetSender()
	if record := request.GetRecord(); record.GetName() == sender.GetName() {
		node.merge(record, node.sentNotBefore(request, now))
	}
	node.markSeen(sender, now)
	node.protocols.Observe(sender.GetName(), request.GetProtocol())
	known := indexDigests(request.GetKnown())
	node.raiseIncarnation(known[node.settings.Name])
	self := node.self.record
	if link, ok := node.links[sender.GetName()]; ok && link.updateAcked(known[self.Name], self) {
		link.recordSuccess(now)
	}
	response := &peerpb.ExchangeResponse{Sender: self.digest(), Mark: node.mark(now), Protocol: int64(protocol.Current)}
	if entry, ok := node.others[sender.GetName()]; ok {
		response.Known = entry.record.digest()
	}
	response.Records = node.newerRecords(sender.GetName(), known, request.GetAll(), now)
	return response
}

// newerRecords returns the records, or differences of records, that the sender of the digests lacks. With all it
// includes those of other daemons of this data centre. The caller holds the mutex.
func (node *Node) newerRecords(sender string, known map[string]*peerpb.Digest, all bool, now time.Time) []*peerpb.Record {
	var records []*peerpb.Record
	add := func(entry *entry) {
		digest := known[entry.record.Name]
		since := uint64(0)
		if digest.GetIncarnation() == entry.record.Incarnation {
			since = digest.GetVersion()
		}
		if digest.GetIncarnation() <= entry.record.Incarnation && since < entry.record.Version {
			records = append(records, entry.difference(since, now))
		}
	}
	add(node.self)
	if !all {
		return records
	}
	for name, entry := range node.others {
		if name != sender && entry.record.DataCentre == node.settings.DataCentre {
			add(entry)
		}
	}
	return records
}

// indexDigests returns the digests by daemon name.
func indexDigests(digests []*peerpb.Digest) map[string]*peerpb.Digest {
	index := make(map[string]*peerpb.Digest, len(digests))
	for _, digest := range digests {
		index[digest.GetName()] = digest
	}
	return index
}

// markSeen records a message that the daemon itself sent. The caller holds the mutex.
func (node *Node) markSeen(sender *peerpb.Digest, now time.Time) {
	entry, ok := node.others[sender.GetName()]
	if ok && entry.record.Incarnation == sender.GetIncarnation() {
		entry.lastSeen = now
	}
}

// link returns the link to the named daemon, which it adds if there is none. The caller holds the mutex.
func (node *Node) link(name string) *link {
	existing, ok := node.links[name]
	if !ok {
		existing = &link{}
		node.links[name] = existing
	}
	return existing
}

// withTimeout returns a context that ends after the timeout of a call.
func (node *Node) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, node.settings.Timeout)
}
