package peer

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// noticeFailures is the number of failed calls in a row after which a peer is logged as unreachable.
const noticeFailures = 3

// task is one exchange to do.
type task struct {
	member Member
	// all asks for all records of the member's data centre.
	all bool
}

// exchange calls the member and takes its answer.
func (node *Node) exchange(ctx context.Context, task task) {
	asked := node.clock.Now()
	request := node.ask(task)
	ctx, cancel := node.bound(ctx)
	response, err := node.wire.exchange(ctx, task.member.Address, request)
	cancel()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	link := node.link(task.member.Name)
	link.busy = false
	if err != nil {
		link.fail(now, node.settings.Interval)
		if link.failures == noticeFailures {
			event.PeerUnreachable.Log("Peer", task.member.Name, "Cause", err.Error())
		}
		return
	}
	if link.failures >= noticeFailures {
		event.PeerReachable.Log("Peer", task.member.Name)
	}
	link.succeed(now)
	link.newest = ticket{mark: response.GetMark(), came: now}
	node.receive(link, response, asked, now)
}

// ask makes the request of an exchange.
func (node *Node) ask(task task) *peerpb.ExchangeRequest {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.self.heard = now
	self := node.self.record
	request := &peerpb.ExchangeRequest{Sender: self.digest(), All: task.all}
	link := node.link(task.member.Name)
	link.newest.show(request, now)
	if told := link.told; told < self.Version {
		request.Record = node.self.difference(told, now)
	}
	for name, held := range node.others {
		if name == task.member.Name || task.all && held.record.DataCentre == task.member.DataCentre {
			request.Known = append(request.Known, held.record.digest())
		}
	}
	return request
}

// receive takes the answer to an exchange, which was made after it was asked for. The caller holds
// the mutex.
func (node *Node) receive(link *link, response *peerpb.ExchangeResponse, asked, now time.Time) {
	link.learn(response.GetKnown(), node.self.record)
	node.outlive(response.GetKnown())
	for _, record := range response.GetRecords() {
		node.take(record, asked)
	}
	node.hear(response.GetSender(), now)
}

// answer handles a request for an exchange.
func (node *Node) answer(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	node.self.heard = now
	sender := request.GetSender()
	if record := request.GetRecord(); record.GetName() == sender.GetName() {
		node.take(record, node.madeAfter(request, now))
	}
	node.hear(sender, now)
	known := indexDigests(request.GetKnown())
	node.outlive(known[node.settings.Name])
	self := node.self.record
	if link, ok := node.links[sender.GetName()]; ok && link.learn(known[self.Name], self) {
		link.succeed(now)
	}
	response := &peerpb.ExchangeResponse{Sender: self.digest(), Mark: node.mark(now)}
	if held, ok := node.others[sender.GetName()]; ok {
		response.Known = held.record.digest()
	}
	response.Records = node.newer(sender.GetName(), known, request.GetAll(), now)
	return response
}

// newer returns what the sender of the digests lacks. The caller holds the mutex.
func (node *Node) newer(sender string, known map[string]*peerpb.Digest, all bool, now time.Time) []*peerpb.Record {
	var records []*peerpb.Record
	add := func(held *held) {
		digest := known[held.record.Name]
		since := uint64(0)
		if digest.GetIncarnation() == held.record.Incarnation {
			since = digest.GetVersion()
		}
		if digest.GetIncarnation() <= held.record.Incarnation && since < held.record.Version {
			records = append(records, held.difference(since, now))
		}
	}
	add(node.self)
	if !all {
		return records
	}
	for name, held := range node.others {
		if name != sender && held.record.DataCentre == node.settings.DataCentre {
			add(held)
		}
	}
	return records
}

func indexDigests(digests []*peerpb.Digest) map[string]*peerpb.Digest {
	index := make(map[string]*peerpb.Digest, len(digests))
	for _, digest := range digests {
		index[digest.GetName()] = digest
	}
	return index
}

// hear notes that a daemon itself spoke now. The caller holds the mutex.
func (node *Node) hear(sender *peerpb.Digest, now time.Time) {
	held, ok := node.others[sender.GetName()]
	if ok && held.record.Incarnation == sender.GetIncarnation() {
		held.heard = now
	}
}

// link returns the link of a name. The caller holds the mutex.
func (node *Node) link(name string) *link {
	known, ok := node.links[name]
	if !ok {
		known = &link{}
		node.links[name] = known
	}
	return known
}

func (node *Node) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, node.settings.Timeout)
}
