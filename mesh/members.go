package mesh

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/event"
)

const (
	// newsNamed is the number of other daemons of which a greeting tells, so that its size does not grow with their number.
	newsNamed = 24
	// manyMembers is the number of other daemons above which greetings are sent half as often, since each tells of others.
	manyMembers = 16
	// lostIntervals is the number of greeting intervals, beside lostGrace, after which an unheard daemon counts as lost
	// if all others are greeted directly.
	lostIntervals = 4
	lostGrace     = 700 * time.Millisecond
	// newsGrace and newsStep for each daemon make up the time after which an unheard one counts as lost if news of it
	// passes through others: several times that in which news reaches all of them.
	newsGrace = 3700 * time.Millisecond
	newsStep  = 100 * time.Millisecond
	// forgetAfter is the shortest time after which an unheard daemon is forgotten, and forgetTimes the same as a
	// multiple of the time after which it counts as lost.
	forgetAfter = 20 * time.Second
	forgetTimes = 3
)

// members is what one daemon knows of the others. It is not safe for concurrent use, and does no I/O.
type members struct {
	self   Member
	random *rand.Rand
	every  time.Duration
	// incarnation and beat order what this daemon tells of itself.
	incarnation, beat uint64
	// paced is the time before which no further greeting begins.
	paced time.Time
	// known maps addresses to daemons. A seed that has not answered has no name.
	known map[string]*contact
	// order lists the same daemons in any order.
	order []*contact
	// seeds are the addresses that are never forgotten.
	seeds []string
}

// contact is another daemon and the calls to it.
type contact struct {
	Peer
	// next is when it is greeted next, and busy that a call is under way. The order is random, since news spreads slowly
	// if many greet the same daemons.
	next time.Time
	busy bool
	// lost states that it was heard before and is not any more.
	lost bool
}

// newMembers returns what is known at the start: the addresses of the seeds.
func newMembers(settings Settings, random *rand.Rand, now time.Time) *members {
	made := &members{
		self:        settings.Self,
		random:      random,
		every:       settings.GreetingInterval,
		incarnation: uint64(max(now.UnixMilli(), 1)),
		known:       map[string]*contact{},
	}
	made.addSeeds(settings.Seeds)
	return made
}

// addSeeds adds addresses of daemons to ask.
func (members *members) addSeeds(seeds []string) {
	for _, seed := range seeds {
		if seed != members.self.Address {
			members.contact(seed)
			members.seeds = append(members.seeds, seed)
		}
	}
}

// contact returns the daemon at the address.
func (members *members) contact(address string) *contact {
	known, ok := members.known[address]
	if !ok {
		known = &contact{Peer: Peer{Heartbeat: Heartbeat{Member: Member{Address: address}}}}
		members.known[address] = known
		members.order = append(members.order, known)
	}
	return known
}

// pace returns the time between two greetings of this daemon.
func (members *members) pace() time.Duration {
	if len(members.known) > manyMembers {
		return 2 * members.every
	}
	return members.every
}

// interval returns the time between two greetings of one daemon.
func (members *members) interval() time.Duration {
	const fewest = 3
	return members.pace() * time.Duration(max(len(members.known), fewest))
}

// lostAfter returns the silence after which a daemon counts as lost.
func (members *members) lostAfter() time.Duration {
	direct := lostIntervals*members.interval() + lostGrace
	indirect := newsGrace + newsStep*time.Duration(len(members.known))
	return min(direct, indirect)
}

// lives reports whether the daemon was heard of lately.
func (members *members) lives(contact *contact, now time.Time) bool {
	return contact.Name != "" && now.Sub(contact.LastSeen) <= members.lostAfter()
}

// live returns the daemons that were heard of lately, ordered by name.
func (members *members) live(now time.Time) []Peer {
	live := make([]Peer, 0, len(members.known))
	for _, contact := range members.known {
		if members.lives(contact, now) {
			live = append(live, contact.Peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// count returns the number of daemons that were heard of lately.
func (members *members) count(now time.Time) int {
	count := 0
	for _, contact := range members.known {
		if members.lives(contact, now) {
			count++
		}
	}
	return count
}

// holder returns the daemon that told the highest fencing token lately, or nil.
func (members *members) holder(now time.Time) *contact {
	var best *contact
	for _, contact := range members.order {
		if contact.Fence > 0 && (best == nil || contact.Fence > best.Fence) && members.lives(contact, now) {
			best = contact
		}
	}
	return best
}

// due returns the address of the daemon that is to be greeted now, if any. The caller clears busy at the end of the call.
func (members *members) due(now time.Time) (string, bool) {
	if now.Before(members.paced) {
		return "", false
	}
	var first *contact
	for _, contact := range members.known {
		if !contact.busy && !now.Before(contact.next) && (first == nil || contact.next.Before(first.next)) {
			first = contact
		}
	}
	if first == nil {
		return "", false
	}
	members.paced = now.Add(members.pace())
	members.begin(first, now)
	return first.Address, true
}

// all returns the addresses of all daemons that are not being greeted. The caller clears busy at the end of each call.
func (members *members) all(now time.Time) []string {
	var addresses []string
	for address, contact := range members.known {
		if !contact.busy {
			members.begin(contact, now)
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// begin notes a greeting.
func (members *members) begin(contact *contact, now time.Time) {
	contact.busy = true
	contact.next = now.Add(members.interval())
	if contact.lost || contact.Name == "" {
		contact.next = now.Add(max(slowEvery, members.interval()))
	}
}

// sweep notes which daemons are lost and forgets those that have been for long.
func (members *members) sweep(now time.Time) {
	for _, contact := range members.known {
		members.check(contact, now)
		if members.forgotten(contact, now) {
			members.forget(contact)
		}
	}
}

// forget drops the daemon.
func (members *members) forget(gone *contact) {
	delete(members.known, gone.Address)
	members.order = slices.DeleteFunc(members.order, func(contact *contact) bool { return contact == gone })
}

// check notes that a daemon is lost.
func (members *members) check(contact *contact, now time.Time) {
	if contact.Name != "" && !contact.lost && !members.lives(contact, now) {
		contact.lost = true
		event.PeerLost.Log("Daemon", contact.Name, "Address", contact.Address, "SilentFor", now.Sub(contact.LastSeen))
	}
}

// forgotten reports whether the daemon has been lost for so long that it is not greeted any more.
func (members *members) forgotten(contact *contact, now time.Time) bool {
	limit := max(forgetAfter, forgetTimes*members.lostAfter())
	return !contact.LastSeen.IsZero() && now.Sub(contact.LastSeen) > limit && !slices.Contains(members.seeds, contact.Address)
}

// met reports whether the daemon at the address was heard of.
func (members *members) met(address string) bool {
	known, ok := members.known[address]
	return ok && known.Name != ""
}

// tell returns what to tell another daemon: the state of this one first, then of some others, or of all.
func (members *members) tell(state State, now time.Time, all bool) []Heartbeat {
	members.beat++
	told := []Heartbeat{{Member: members.self, State: state, Incarnation: members.incarnation, Sequence: members.beat}}
	for _, contact := range members.choose(now, all) {
		told = append(told, contact.aged(now))
	}
	return told
}

// choose returns the daemons to tell of: the holder of the lease and a random part of the others, or all.
func (members *members) choose(now time.Time, all bool) []*contact {
	if all || len(members.order) <= newsNamed {
		return slices.DeleteFunc(slices.Clone(members.order), func(contact *contact) bool { return !members.lives(contact, now) })
	}
	chosen := make([]*contact, 0, newsNamed)
	holder := members.holder(now)
	if holder != nil {
		chosen = append(chosen, holder)
	}
	for index := 0; len(chosen) < newsNamed && index < len(members.order); index++ {
		other := index + members.random.IntN(len(members.order)-index)
		members.order[index], members.order[other] = members.order[other], members.order[index]
		if contact := members.order[index]; contact != holder && members.lives(contact, now) {
			chosen = append(chosen, contact)
		}
	}
	return chosen
}

// hear takes news of a daemon that is some time old, unless later news of it is known. News of this daemon itself from
// an earlier run makes this run the later one.
func (members *members) hear(news Heartbeat, now time.Time) {
	if news.Address == "" || news.Age > members.lostAfter() {
		return
	}
	if news.Address == members.self.Address {
		if news.Incarnation > members.incarnation {
			members.incarnation = news.Incarnation + 1
		}
		return
	}
	contact := members.contact(news.Address)
	if !news.after(&contact.Heartbeat) {
		return
	}
	if contact.lost || contact.Name == "" {
		contact.lost = false
		contact.next = now.Add(-time.Duration(members.random.Int64N(int64(members.interval()))))
		event.PeerFound.Log("Daemon", news.Name, "Address", news.Address)
	}
	contact.Peer = Peer{Heartbeat: news, InFlight: contact.InFlight, LastSeen: now.Add(-news.Age)}
}
