package admission

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
)

const (
	// servedHalfLife is the time in which the weight of starts and refusals in the shares of the priorities halves.
	servedHalfLife = 5 * time.Second
	// leastPart is the part of the share that is served of all requests below which a less urgent priority gets the next turn. It
	// leaves a margin above the quarter that every kind must get.
	leastPart = 0.4
	// lookAhead is the number of requests that try one after the other when capacity may have appeared: the first may not be able to
	// use it, for its size or its adapter.
	lookAhead = 4
	// maxOvertaken is the number of requests that may overtake the first one, which could not use their replicas. Then it alone tries
	// for aloneTime, so that room for a large request can form.
	maxOvertaken = 8
	aloneTime    = 300 * time.Millisecond
	// maxFlows bounds the accounts that a queue remembers.
	maxFlows = 256
)

// Queue orders the requests that wait for a replica with one model. It is not safe for concurrent use. Use New.
type Queue struct {
	classes [demand.Priorities]class
	// flows holds the accounts that wait or are ahead of their shares, and shares is the sum of the weights of those that wait.
	flows  map[string]*flow
	shares float64
	rate   rate
	// length is the number of waiting requests, and sequence that of all so far.
	length   int
	sequence uint64
	// trying is the request that has the turn, and tries the number of those that passed it on in this round; nil if there is none.
	trying *Entry
	tries  int
	// again is set if capacity may have appeared since the round began.
	again bool
	// used is when a request last began or ceased to wait, or was refused.
	used time.Time
}

// New returns an empty queue.
func New(now time.Time) *Queue {
	return &Queue{flows: map[string]*flow{}, used: now}
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int {
	return queue.length
}

// Waiting returns the number of waiting requests of the priority.
func (queue *Queue) Waiting(priority int) int {
	return queue.classes[priority].length()
}

// IsIdle reports whether no request waits, and none did for the time.
func (queue *Queue) IsIdle(after time.Duration, now time.Time) bool {
	return queue.length == 0 && now.Sub(queue.used) > after
}

// Blocks reports whether a request of the priority that arrives now must wait for others: none overtakes a waiting one of its priority
// or a more urgent one.
func (queue *Queue) Blocks(priority int, returned bool) bool {
	if queue.MoreUrgent(priority) {
		return true
	}
	class := &queue.classes[priority]
	if !returned {
		return class.length() > 0
	}
	return len(class.inTime) > 0 && class.inTime[0].Returned || len(class.late) > 0 && class.late[0].Returned
}

// MoreUrgent reports whether a request with a more urgent priority waits.
func (queue *Queue) MoreUrgent(priority int) bool {
	for more := range priority {
		if queue.classes[more].length() > 0 {
			return true
		}
	}
	return false
}

// Push adds the entry. It must not be in the queue.
func (queue *Queue) Push(entry *Entry, now time.Time) {
	if queue.length == 0 {
		queue.rate.begin(now)
	}
	queue.used = now
	queue.length++
	queue.sequence++
	entry.sequence = queue.sequence
	entry.rank = entry.StartBy.Add(queue.lag(entry, now))
	entry.late = entry.StartBy.Before(now)
	queue.classes[entry.Priority].insert(entry)
}

// lag charges the entry to its account, and returns how far that one was ahead of its share.
func (queue *Queue) lag(entry *Entry, now time.Time) time.Duration {
	flow := queue.flow(entry, now)
	if flow.waiting == 0 {
		queue.shares += flow.share
	}
	flow.waiting++
	lag := flow.lag(now)
	starts, _, _ := queue.rate.perSecond(now)
	if entry.Account == "" {
		return 0
	}
	// An account that is alone is charged as if another one waited, so that its flood does not precede what others send next.
	others := max(queue.shares/flow.share-1, 1)
	flow.charge(time.Duration(min(others/starts, maxLag.Seconds())*float64(time.Second)), now)
	return lag
}

// flow returns the flow of the account of the entry.
func (queue *Queue) flow(entry *Entry, now time.Time) *flow {
	known, ok := queue.flows[entry.Account]
	if !ok {
		if len(queue.flows) >= maxFlows {
			queue.prune(now)
		}
		known = &flow{}
		queue.flows[entry.Account] = known
	}
	if known.waiting == 0 {
		known.share = entry.Share
		if known.share <= 0 {
			known.share = 1
		}
	}
	return known
}

// prune drops the accounts that neither wait nor are ahead of their shares.
func (queue *Queue) prune(now time.Time) {
	for account, flow := range queue.flows {
		if flow.waiting == 0 && flow.lag(now) == 0 {
			delete(queue.flows, account)
		}
	}
}

// Start removes the entry, which found a replica, and offers the turn to the next one.
func (queue *Queue) Start(entry *Entry, now time.Time) {
	if first := queue.first(now); first != nil && first != entry {
		first.overtake(now)
	}
	queue.rate.start(entry.Tokens, now)
	queue.classes[entry.Priority].started++
	queue.CountStart(entry.Priority, now)
	queue.Remove(entry, now)
}

// Remove removes the entry, which waits no longer, and passes its turn on. It does nothing if the entry is not in the queue.
func (queue *Queue) Remove(entry *Entry, now time.Time) {
	if entry.sequence == 0 {
		return
	}
	queue.used = now
	queue.classes[entry.Priority].remove(entry)
	entry.sequence = 0
	queue.length--
	if flow := queue.flows[entry.Account]; flow != nil {
		flow.waiting--
		if flow.waiting == 0 {
			queue.shares -= flow.share
		}
	}
	if queue.length == 0 {
		queue.rate.end(now)
		queue.shares = 0
		queue.prune(now)
	}
	if queue.trying == entry {
		queue.trying = nil
		queue.Offer(now)
	}
}

// CountStart counts a request of the priority that found a replica, also one that did not wait.
func (queue *Queue) CountStart(priority int, now time.Time) {
	queue.classes[priority].served.add(1, servedHalfLife, now)
	queue.classes[priority].offered.add(1, servedHalfLife, now)
}

// CountRefusal counts a request of the priority that was refused for want of capacity.
func (queue *Queue) CountRefusal(priority int, now time.Time) {
	queue.used = now
	queue.classes[priority].offered.add(1, servedHalfLife, now)
}

// Offer gives the turn to the first request, since capacity may have appeared. If a request has the turn already, the round begins
// anew once that one has tried.
func (queue *Queue) Offer(now time.Time) {
	if queue.trying != nil {
		queue.again = true
		return
	}
	queue.tries, queue.again = 0, false
	queue.give(queue.first(now))
}

// HasTurn reports whether the entry may try. One that is not the first gives the turn back if capacity may have appeared since.
func (queue *Queue) HasTurn(entry *Entry, now time.Time) bool {
	if queue.trying == entry && queue.again && queue.first(now) != entry {
		queue.Pass(entry, now)
	}
	return queue.trying == entry
}

// Pass gives the turn of the entry, which tried and found no replica, to the next one that may try.
func (queue *Queue) Pass(entry *Entry, now time.Time) {
	if queue.trying != entry {
		return
	}
	queue.trying = nil
	select {
	case <-entry.turn:
	default:
	}
	if queue.again {
		queue.Offer(now)
		return
	}
	queue.tries++
	if queue.tries >= min(lookAhead, queue.length) || queue.first(now).triesAlone(now) {
		return
	}
	queue.give(queue.at(queue.tries, now))
}

// give gives the turn to the entry, if it is not nil.
func (queue *Queue) give(entry *Entry) {
	queue.trying = entry
	if entry == nil {
		return
	}
	select {
	case entry.turn <- struct{}{}:
	default:
	}
}

// first returns the request that may try first, or nil.
func (queue *Queue) first(now time.Time) *Entry {
	if queue.length == 0 {
		return nil
	}
	return queue.at(0, now)
}

// at returns the waiting request at the index, which must be less than the length: those of the priority whose turn it is, then the
// others from the most urgent one.
func (queue *Queue) at(index int, now time.Time) *Entry {
	next := queue.next(now)
	if length := queue.classes[next].length(); index >= length {
		index -= length
	} else {
		queue.classes[next].expire(now)
		return queue.classes[next].at(index)
	}
	for priority := range queue.classes {
		class := &queue.classes[priority]
		if priority == next {
			continue
		}
		if index < class.length() {
			class.expire(now)
			return class.at(index)
		}
		index -= class.length()
	}
	return nil
}

// next returns the priority whose turn it is: the most urgent one that waits, unless a less urgent one was served less than leastPart
// as often as all, and less often than all more urgent ones.
func (queue *Queue) next(now time.Time) int {
	served, offered := 0.0, 0.0
	for priority := range queue.classes {
		served += queue.classes[priority].served.at(servedHalfLife, now)
		offered += queue.classes[priority].offered.at(servedHalfLife, now)
	}
	least := 1.0
	if offered > 0 {
		least = leastPart * served / offered
	}
	chosen := -1
	for priority := range queue.classes {
		class := &queue.classes[priority]
		if share, known := class.share(now); known {
			if chosen >= 0 && class.length() > 0 && share < least {
				chosen = priority
			}
			least = min(least, share)
		}
		if chosen < 0 && class.length() > 0 {
			chosen = priority
		}
	}
	return max(chosen, 0)
}
