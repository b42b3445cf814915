package mesh

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/event"
)

const (
	// maxPeersPerGreeting is the number of other daemons whose state a greeting carries, so that its size
	// does not grow with the number of daemons.
	maxPeersPerGreeting = 24
	// halfRateAbove is the number of other daemons above which greetings are sent half as often, since each
	// carries the state of several daemons.
	halfRateAbove = 16
	// directLostIntervals greeting intervals plus directLostMargin make up the time without a heartbeat after
	// which a daemon counts as lost if all daemons are greeted directly.
	directLostIntervals = 4
	directLostMargin    = 700 * time.Millisecond
	// relayedLostBase plus relayedLostPerPeer for each known daemon make up the time without a heartbeat
	// after which a daemon counts as lost if heartbeats are relayed: several times that in which a heartbeat
	// reaches all daemons.
	relayedLostBase    = 3700 * time.Millisecond
	relayedLostPerPeer = 100 * time.Millisecond
	// minForgetTimeout is the shortest time without a heartbeat after which a daemon is removed, and
	// forgetFactor the same as a multiple of the time after which it counts as lost.
	minForgetTimeout = 20 * time.Second
	forgetFactor     = 3
)

// members is the membership as one daemon knows it. It is not safe for concurrent use, and does no I/O.
type members struct {
	self   Member
	random *rand.Rand
	// baseInterval is the time between two greetings that this daemon sends while it knows few others.
	baseInterval time.Duration
	// incarnation and sequence are those of the last heartbeat of this daemon.
	incarnation, sequence uint64
	// nextSend is the earliest time of the next greeting.
	nextSend time.Time
	// peers maps addresses to daemons. A seed that has not responded has an empty name.
	peers map[string]*trackedPeer
	// shuffled lists the same daemons in arbitrary order; selectPeers shuffles part of it.
	shuffled []*trackedPeer
	// seeds are the addresses that are never removed.
	seeds []string
}

// trackedPeer is another daemon and the state of the greetings to it.
type trackedPeer struct {
	Peer
	// nextGreeting is the time of the next greeting to the daemon, and greeting is set while one is in
	// flight. The order of greetings is random, since state spreads slowly if many daemons greet the same
	// ones.
	nextGreeting time.Time
	greeting     bool
	// lost is set if the daemon was live before and is not any more.
	lost bool
}

// newMembers returns a membership that holds only the addresses of the seeds.
func newMembers(settings Settings, random *rand.Rand, now time.Time) *members {
	result := &members{
		self:         settings.Self,
		random:       random,
		baseInterval: settings.GreetingInterval,
		incarnation:  uint64(max(now.UnixMilli(), 1)),
		peers:        map[string]*trackedPeer{},
	}
	result.addSeeds(settings.Seeds)
	return result
}

// addSeeds adds addresses of daemons to contact, other than that of this daemon.
func (members *members) addSeeds(seeds []string) {
	for _, seed := range seeds {
		if seed != members.self.Address {
			members.track(seed)
			members.seeds = append(members.seeds, seed)
		}
	}
}

// track returns the daemon at the address, which it adds if it is unknown.
func (members *members) track(address string) *trackedPeer {
	peer, ok := members.peers[address]
	if !ok {
		peer = &trackedPeer{Peer: Peer{Heartbeat: Heartbeat{Member: Member{Address: address}}}}
		members.peers[address] = peer
		members.shuffled = append(members.shuffled, peer)
	}
	return peer
}

// sendInterval returns the time between two greetings that this daemon sends.
func (members *members) sendInterval() time.Duration {
	if len(members.peers) > halfRateAbove {
		return 2 * members.baseInterval
	}
	return members.baseInterval
}

// peerInterval returns the time between two greetings to the same daemon.
func (members *members) peerInterval() time.Duration {
	const minPeers = 3
	return members.sendInterval() * time.Duration(max(len(members.peers), minPeers))
}

// lostAfter returns the time without a heartbeat after which a daemon counts as lost: the shorter of those
// for direct and for relayed heartbeats.
func (members *members) lostAfter() time.Duration {
	direct := directLostIntervals*members.peerInterval() + directLostMargin
	relayed := relayedLostBase + relayedLostPerPeer*time.Duration(len(members.peers))
	return min(direct, relayed)
}

// isLive reports whether a recent heartbeat of the daemon was received.
func (members *members) isLive(peer *trackedPeer, now time.Time) bool {
	return peer.Name != "" && now.Sub(peer.LastSeen) <= members.lostAfter()
}

// live returns the live daemons, ordered by name.
func (members *members) live(now time.Time) []Peer {
	live := make([]Peer, 0, len(members.peers))
	for _, peer := range members.peers {
		if members.isLive(peer, now) {
			live = append(live, peer.Peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// count returns the number of live daemons.
func (members *members) count(now time.Time) int {
	count := 0
	for _, peer := range members.peers {
		if members.isLive(peer, now) {
			count++
		}
	}
	return count
}

// leaseHolder returns the live daemon with the highest fencing token, or nil if none announced one.
func (members *members) leaseHolder(now time.Time) *trackedPeer {
	var best *trackedPeer
	for _, peer := range members.shuffled {
		if peer.Fence > 0 && (best == nil || peer.Fence > best.Fence) && members.isLive(peer, now) {
			best = peer
		}
	}
	return best
}

// startDue marks the daemon that is due next as being greeted, and returns its address. It returns false if
// none is due. The caller resets greeting when the call has ended.
func (members *members) startDue(now time.Time) (string, bool) {
	if now.Before(members.nextSend) {
		return "", false
	}
	var earliest *trackedPeer
	for _, peer := range members.peers {
		if !peer.greeting && !now.Before(peer.nextGreeting) && (earliest == nil || peer.nextGreeting.Before(earliest.nextGreeting)) {
			earliest = peer
		}
	}
	if earliest == nil {
		return "", false
	}
	members.nextSend = now.Add(members.sendInterval())
	members.start(earliest, now)
	return earliest.Address, true
}

// startAll marks all daemons as being greeted and returns their addresses, without those that are being
// greeted already. The caller resets greeting when each call has ended.
func (members *members) startAll(now time.Time) []string {
	var addresses []string
	for address, peer := range members.peers {
		if !peer.greeting {
			members.start(peer, now)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// start records that a greeting to the daemon begins, and schedules the next one.
func (members *members) start(peer *trackedPeer, now time.Time) {
	peer.greeting = true
	peer.nextGreeting = now.Add(members.peerInterval())
	if peer.lost || peer.Name == "" {
		peer.nextGreeting = now.Add(max(slowGreetingInterval, members.peerInterval()))
	}
}

// sweep marks lost daemons and removes those that have been lost for long.
func (members *members) sweep(now time.Time) {
	for _, peer := range members.peers {
		members.markLost(peer, now)
		if members.isExpired(peer, now) {
			members.remove(peer)
		}
	}
}

// remove removes the daemon.
func (members *members) remove(removed *trackedPeer) {
	delete(members.peers, removed.Address)
	members.shuffled = slices.DeleteFunc(members.shuffled, func(peer *trackedPeer) bool { return peer == removed })
}

// markLost marks and logs the daemon as lost if it is no longer live.
func (members *members) markLost(peer *trackedPeer, now time.Time) {
	if peer.Name != "" && !peer.lost && !members.isLive(peer, now) {
		peer.lost = true
		event.PeerLost.Log("Daemon", peer.Name, "Address", peer.Address, "SilentFor", now.Sub(peer.LastSeen))
	}
}

// isExpired reports whether the daemon has been lost for so long that it is removed. Seeds never expire.
func (members *members) isExpired(peer *trackedPeer, now time.Time) bool {
	limit := max(minForgetTimeout, forgetFactor*members.lostAfter())
	return !peer.LastSeen.IsZero() && now.Sub(peer.LastSeen) > limit && !slices.Contains(members.seeds, peer.Address)
}

// isKnown reports whether a heartbeat of the daemon at the address was received.
func (members *members) isKnown(address string) bool {
	peer, ok := members.peers[address]
	return ok && peer.Name != ""
}

// heartbeats returns the heartbeats for a greeting: a new one of this daemon first, then those of some live
// daemons, or of all.
func (members *members) heartbeats(state State, now time.Time, all bool) []Heartbeat {
	members.sequence++
	heartbeats := []Heartbeat{{Member: members.self, State: state, Incarnation: members.incarnation, Sequence: members.sequence}}
	for _, peer := range members.selectPeers(now, all) {
		heartbeats = append(heartbeats, peer.heartbeatAt(now))
	}
	return heartbeats
}

// selectPeers returns the daemons whose heartbeats a greeting carries: the lease holder and a random sample
// of the other live daemons, or all.
func (members *members) selectPeers(now time.Time, all bool) []*trackedPeer {
	if all || len(members.shuffled) <= maxPeersPerGreeting {
		return slices.DeleteFunc(slices.Clone(members.shuffled), func(peer *trackedPeer) bool { return !members.isLive(peer, now) })
	}
	selected := make([]*trackedPeer, 0, maxPeersPerGreeting)
	holder := members.leaseHolder(now)
	if holder != nil {
		selected = append(selected, holder)
	}
	for index := 0; len(selected) < maxPeersPerGreeting && index < len(members.shuffled); index++ {
		other := index + members.random.IntN(len(members.shuffled)-index)
		members.shuffled[index], members.shuffled[other] = members.shuffled[other], members.shuffled[index]
		if peer := members.shuffled[index]; peer != holder && members.isLive(peer, now) {
			selected = append(selected, peer)
		}
	}
	return selected
}

// receive records a heartbeat unless it is too old or a newer one of the daemon is known. A heartbeat of this
// daemon's address with a higher incarnation is from an earlier process, which happens if the clock was set
// back; this daemon then takes a higher one.
func (members *members) receive(heartbeat Heartbeat, now time.Time) {
	if heartbeat.Address == "" || heartbeat.Age > members.lostAfter() {
		return
	}
	if heartbeat.Address == members.self.Address {
		if heartbeat.Incarnation > members.incarnation {
			members.incarnation = heartbeat.Incarnation + 1
		}
		return
	}
	peer := members.track(heartbeat.Address)
	if !heartbeat.isNewerThan(&peer.Heartbeat) {
		return
	}
	if peer.lost || peer.Name == "" {
		peer.lost = false
		peer.nextGreeting = now.Add(-time.Duration(members.random.Int64N(int64(members.peerInterval()))))
		event.PeerFound.Log("Daemon", heartbeat.Name, "Address", heartbeat.Address)
	}
	peer.Peer = Peer{Heartbeat: heartbeat, InFlight: peer.InFlight, LastSeen: now.Add(-heartbeat.Age)}
}
