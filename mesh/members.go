package mesh

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/event"
)

const (
	// maxPeersPerGreeting is the number of other daemons of which a greeting tells, so that its size does not grow with their number.
	maxPeersPerGreeting = 24
	// halfRateAbove is the number of other daemons above which greetings are sent half as often, since each tells of others.
	halfRateAbove = 16
	// directLostIntervals is the number of greeting intervals, beside lostGrace, after which an unheard daemon counts as lost
	// if all others are greeted directly.
	directLostIntervals = 4
	directLostMargin    = 700 * time.Millisecond
	// relayedLostBase and newsStep for each daemon make up the time after which an unheard one counts as lost if news of it
	// passes through others: several times that in which news reaches all of them.
	relayedLostBase    = 3700 * time.Millisecond
	relayedLostPerPeer = 100 * time.Millisecond
	// minForgetTimeout is the shortest time after which an unheard daemon is forgotten, and forgetTimes the same as a
	// multiple of the time after which it counts as lost.
	minForgetTimeout = 20 * time.Second
	forgetFactor     = 3
)

// members is what one daemon knows of the others. It is not safe for concurrent use, and does no I/O.
type members struct {
	self         Member
	random       *rand.Rand
	baseInterval time.Duration
	// incarnation and sequence order what this daemon tells of itself.
	incarnation, sequence uint64
	// nextSend is the time before which no further greeting begins.
	nextSend time.Time
	// peers maps addresses to daemons. A seed that has not answered has no name.
	peers map[string]*trackedPeer
	// shuffled lists the same daemons in any shuffled.
	shuffled []*trackedPeer
	// seeds are the addresses that are never forgotten.
	seeds []string
}

// trackedPeer is another daemon and the calls to it.
type trackedPeer struct {
	Peer
	// nextGreeting is when it is greeted nextGreeting, and busy that a call is under way. The order is random, since news spreads slowly
	// if many greet the same daemons.
	nextGreeting time.Time
	greeting     bool
	// lost states that it was heard before and is not any more.
	lost bool
}

// newMembers returns what is known at the start: the addresses of the seeds.
func newMembers(settings Settings, random *rand.Rand, now time.Time) *members {
	made := &members{
		self:         settings.Self,
		random:       random,
		baseInterval: settings.GreetingInterval,
		incarnation:  uint64(max(now.UnixMilli(), 1)),
		peers:        map[string]*trackedPeer{},
	}
	made.addSeeds(settings.Seeds)
	return made
}

// addSeeds adds addresses of daemons to ask.
func (members *members) addSeeds(seeds []string) {
	for _, seed := range seeds {
		if seed != members.self.Address {
			members.track(seed)
			members.seeds = append(members.seeds, seed)
		}
	}
}

// track returns the daemon at the address.
func (members *members) track(address string) *trackedPeer {
	known, ok := members.peers[address]
	if !ok {
		known = &trackedPeer{Peer: Peer{Heartbeat: Heartbeat{Member: Member{Address: address}}}}
		members.peers[address] = known
		members.shuffled = append(members.shuffled, known)
	}
	return known
}

// sendInterval returns the time between two greetings of this daemon.
func (members *members) sendInterval() time.Duration {
	if len(members.peers) > halfRateAbove {
		return 2 * members.baseInterval
	}
	return members.baseInterval
}

// peerInterval returns the time between two greetings of one daemon.
func (members *members) peerInterval() time.Duration {
	const fewest = 3
	return members.sendInterval() * time.Duration(max(len(members.peers), fewest))
}

// lostAfter returns the silence after which a daemon counts as lost.
func (members *members) lostAfter() time.Duration {
	direct := directLostIntervals*members.peerInterval() + directLostMargin
	indirect := relayedLostBase + relayedLostPerPeer*time.Duration(len(members.peers))
	return min(direct, indirect)
}

// isLive reports whether the daemon was heard of lately.
func (members *members) isLive(contact *trackedPeer, now time.Time) bool {
	return contact.Name != "" && now.Sub(contact.LastSeen) <= members.lostAfter()
}

// live returns the daemons that were heard of lately, ordered by name.
func (members *members) live(now time.Time) []Peer {
	live := make([]Peer, 0, len(members.peers))
	for _, contact := range members.peers {
		if members.isLive(contact, now) {
			live = append(live, contact.Peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// count returns the number of daemons that were heard of lately.
func (members *members) count(now time.Time) int {
	count := 0
	for _, contact := range members.peers {
		if members.isLive(contact, now) {
			count++
		}
	}
	return count
}

// leaseHolder returns the daemon that told the highest fencing token lately, or nil.
func (members *members) leaseHolder(now time.Time) *trackedPeer {
	var best *trackedPeer
	for _, contact := range members.shuffled {
		if contact.Fence > 0 && (best == nil || contact.Fence > best.Fence) && members.isLive(contact, now) {
			best = contact
		}
	}
	return best
}

// startDue returns the address of the daemon that is to be greeted now, if any. The caller clears busy at the end of the call.
func (members *members) startDue(now time.Time) (string, bool) {
	if now.Before(members.nextSend) {
		return "", false
	}
	var first *trackedPeer
	for _, contact := range members.peers {
		if !contact.greeting && !now.Before(contact.nextGreeting) && (first == nil || contact.nextGreeting.Before(first.nextGreeting)) {
			first = contact
		}
	}
	if first == nil {
		return "", false
	}
	members.nextSend = now.Add(members.sendInterval())
	members.start(first, now)
	return first.Address, true
}

// startAll returns the addresses of startAll daemons that are not being greeted. The caller clears busy at the end of each call.
func (members *members) startAll(now time.Time) []string {
	var addresses []string
	for address, contact := range members.peers {
		if !contact.greeting {
			members.start(contact, now)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// start notes a greeting.
func (members *members) start(contact *trackedPeer, now time.Time) {
	contact.greeting = true
	contact.nextGreeting = now.Add(members.peerInterval())
	if contact.lost || contact.Name == "" {
		contact.nextGreeting = now.Add(max(slowGreetingInterval, members.peerInterval()))
	}
}

// sweep notes which daemons are lost and forgets those that have been for long.
func (members *members) sweep(now time.Time) {
	for _, contact := range members.peers {
		members.markLost(contact, now)
		if members.isExpired(contact, now) {
			members.remove(contact)
		}
	}
}

// remove drops the daemon.
func (members *members) remove(gone *trackedPeer) {
	delete(members.peers, gone.Address)
	members.shuffled = slices.DeleteFunc(members.shuffled, func(contact *trackedPeer) bool { return contact == gone })
}

// markLost notes that a daemon is lost.
func (members *members) markLost(contact *trackedPeer, now time.Time) {
	if contact.Name != "" && !contact.lost && !members.isLive(contact, now) {
		contact.lost = true
		event.PeerLost.Log("Daemon", contact.Name, "Address", contact.Address, "SilentFor", now.Sub(contact.LastSeen))
	}
}

// isExpired reports whether the daemon has been lost for so long that it is not greeted any more.
func (members *members) isExpired(contact *trackedPeer, now time.Time) bool {
	limit := max(minForgetTimeout, forgetFactor*members.lostAfter())
	return !contact.LastSeen.IsZero() && now.Sub(contact.LastSeen) > limit && !slices.Contains(members.seeds, contact.Address)
}

// isKnown reports whether the daemon at the address was heard of.
func (members *members) isKnown(address string) bool {
	known, ok := members.peers[address]
	return ok && known.Name != ""
}

// heartbeats returns what to heartbeats another daemon: the state of this one first, then of some others, or of all.
func (members *members) heartbeats(state State, now time.Time, all bool) []Heartbeat {
	members.sequence++
	told := []Heartbeat{{Member: members.self, State: state, Incarnation: members.incarnation, Sequence: members.sequence}}
	for _, contact := range members.selectPeers(now, all) {
		told = append(told, contact.heartbeatAt(now))
	}
	return told
}

// selectPeers returns the daemons to tell of: the holder of the lease and a random part of the others, or all.
func (members *members) selectPeers(now time.Time, all bool) []*trackedPeer {
	if all || len(members.shuffled) <= maxPeersPerGreeting {
		return slices.DeleteFunc(slices.Clone(members.shuffled), func(contact *trackedPeer) bool { return !members.isLive(contact, now) })
	}
	chosen := make([]*trackedPeer, 0, maxPeersPerGreeting)
	holder := members.leaseHolder(now)
	if holder != nil {
		chosen = append(chosen, holder)
	}
	for index := 0; len(chosen) < maxPeersPerGreeting && index < len(members.shuffled); index++ {
		other := index + members.random.IntN(len(members.shuffled)-index)
		members.shuffled[index], members.shuffled[other] = members.shuffled[other], members.shuffled[index]
		if contact := members.shuffled[index]; contact != holder && members.isLive(contact, now) {
			chosen = append(chosen, contact)
		}
	}
	return chosen
}

// receive takes news of a daemon that is some time old, unless later news of it is known. News of this daemon itself from
// an earlier run makes this run the later one.
func (members *members) receive(news Heartbeat, now time.Time) {
	if news.Address == "" || news.Age > members.lostAfter() {
		return
	}
	if news.Address == members.self.Address {
		if news.Incarnation > members.incarnation {
			members.incarnation = news.Incarnation + 1
		}
		return
	}
	contact := members.track(news.Address)
	if !news.isNewerThan(&contact.Heartbeat) {
		return
	}
	if contact.lost || contact.Name == "" {
		contact.lost = false
		contact.nextGreeting = now.Add(-time.Duration(members.random.Int64N(int64(members.peerInterval()))))
		event.PeerFound.Log("Daemon", news.Name, "Address", news.Address)
	}
	contact.Peer = Peer{Heartbeat: news, InFlight: contact.InFlight, LastSeen: now.Add(-news.Age)}
}
