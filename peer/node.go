package peer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/protocol"
)

// liveIntervals is the number of intervals without a message after which a daemon no longer counts as live.
const liveIntervals = 5

// outlivedLogInterval is the shortest time between two log lines about other processes of the name of this daemon.
const outlivedLogInterval = time.Minute

// Node is one daemon's side of the exchange. It is safe for concurrent use. Use NewNode.
type Node struct {
	settings Settings
	clock    clock.WithTicker
	client   *client
	// protocols keeps the versions of the protocol that other daemons tell.
	protocols *protocol.Registry

	mutex sync.Mutex
	// random is guarded by mutex.
	random *rand.Rand
	// started is when this process started and processID is its random number, both for its marks.
	started   time.Time
	processID uint64
	// self is the record of this daemon. Its version only rises.
	self *entry
	// others holds the records of other daemons by name.
	others map[string]*entry
	// links holds the state of the exchanges with each daemon by name.
	links map[string]*link
	// changed is closed at the next change of others.
	changed chan struct{}
	// regularRounds counts the rounds that were not urgent.
	regularRounds int
	// remoteExchanges counts the exchanges with other data centres. It selects the next data centre.
	remoteExchanges int
	// outlivedLoggedAt is when the incarnation was last raised with a log line; zero if it never was.
	outlivedLoggedAt time.Time
	// urgent holds at most one signal, which requests a round at once.
	urgent chan struct{}
}

// NewNode returns a node that has no records of other daemons.
func NewNode(settings Settings, clock clock.WithTicker, random *rand.Rand) *Node {
	settings = settings.withDefaults()
	node := &Node{
		settings:  settings,
		clock:     clock,
		client:    newRPCClient(settings),
		protocols: protocol.NewRegistry(clock),
		random:    random,
		others:    map[string]*entry{},
		links:     map[string]*link{},
		changed:   make(chan struct{}),
		urgent:    make(chan struct{}, 1),
	}
	node.started = clock.Now()
	node.processID = random.Uint64()
	node.self = &entry{record: node.withIdentity(Record{Version: 1})}
	return node
}

// withIdentity sets the fields of the record that come from the settings.
func (node *Node) withIdentity(record Record) Record {
	record.Name = node.settings.Name
	record.Incarnation = node.settings.Incarnation
	record.DataCentre = node.settings.DataCentre
	record.PeerAddress = node.settings.PeerAddress
	record.CallerAddress = node.settings.CallerAddress
	record.Build = node.settings.Build
	return record
}

// Update changes the record of this daemon. Changes of name, incarnation, version, data centre and addresses are
// ignored. A change of Leaving, InForce or Suspects, or of more than the load of an upstream, is sent at once;
// others are sent in the next round. The function must not block and must not change slices in place.
func (node *Node) Update(change func(Record) Record) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	last := node.self.record
	next := node.withIdentity(change(last))
	next.Incarnation = last.Incarnation
	next.Version = last.Version + 1
	node.self.replace(next)
	urgent := last.Leaving != next.Leaving || last.InForce != next.InForce || node.self.suspectsVersion == next.Version
	if urgent || node.self.shapeChanged() {
		node.requestUrgentRound()
	}
}

// requestUrgentRound requests a round at once unless one is requested already.
func (node *Node) requestUrgentRound() {
	select {
	case node.urgent <- struct{}{}:
	default:
	}
}

// Self returns the record of this daemon.
func (node *Node) Self() Record {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.self.record
}

// Records returns the newest records of the other daemons, ordered by name.
func (node *Node) Records() []Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	peers := make([]Peer, 0, len(node.others))
	for _, name := range slices.Sorted(maps.Keys(node.others)) {
		entry := node.others[name]
		peers = append(peers, Peer{Record: entry.record, LastSeen: entry.lastSeen})
	}
	return peers
}

// Record returns the newest record of another daemon, or false if there is none.
func (node *Node) Record(name string) (Peer, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	entry, ok := node.others[name]
	if !ok {
		return Peer{}, false
	}
	return Peer{Record: entry.record, LastSeen: entry.lastSeen}, true
}

// Protocol returns the version of the protocol that another daemon told last.
func (node *Node) Protocol(name string) protocol.Version {
	return node.protocols.Version(name)
}

// Changed returns a channel that is closed at the next change of Records.
func (node *Node) Changed() <-chan struct{} {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.changed
}

// Live returns the names of the live daemons of this data centre in order: those last seen recently that are not
// leaving. It includes this daemon unless it is leaving.
func (node *Node) Live() []string {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	oldest := node.clock.Now().Add(-liveIntervals * node.settings.Interval)
	var live []string
	if !node.self.record.Leaving {
		live = append(live, node.settings.Name)
	}
	for name, entry := range node.others {
		record := entry.record
		if record.DataCentre == node.settings.DataCentre && !record.Leaving && !entry.lastSeen.Before(oldest) {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// HighestInForce returns the largest number in force in the records of this and other daemons.
func (node *Node) HighestInForce() uint64 {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	highest := node.self.record.InForce
	for _, entry := range node.others {
		highest = max(highest, entry.record.InForce)
	}
	return highest
}

// merge merges a record of a message that was created at or after the given time. The caller holds the
// mutex.
func (node *Node) merge(message *peerpb.Record, created time.Time) {
	name := message.GetName()
	lastSeen := created.Add(-decodeDuration(message.GetAge()))
	if name == "" || name == node.settings.Name || created.Sub(lastSeen) > node.settings.ForgetTimeout {
		return
	}
	known, ok := node.others[name]
	if ok && message.GetIncarnation() < known.record.Incarnation {
		return
	}
	newProcess := !ok || message.GetIncarnation() > known.record.Incarnation
	if newProcess {
		known = &entry{}
	}
	if message.GetVersion() > known.record.Version {
		next, complete := apply(known.record, message, created)
		if !complete {
			return
		}
		known.replace(next)
		node.notifyChanged()
	}
	if known.record.Version == 0 {
		return
	}
	node.others[name] = known
	if lastSeen.After(known.lastSeen) {
		known.lastSeen = lastSeen
	}
}

// notifyChanged closes the channel that Changed returned. The caller holds the mutex.
func (node *Node) notifyChanged() {
	close(node.changed)
	node.changed = make(chan struct{})
}

// raiseIncarnation raises the incarnation of this daemon above that of an earlier process of the same name of which
// a peer still has a record. The caller holds the mutex.
func (node *Node) raiseIncarnation(digest *peerpb.Digest) {
	record := node.self.record
	if digest.GetName() != record.Name || digest.GetIncarnation() <= record.Incarnation {
		return
	}
	record.Incarnation = digest.GetIncarnation() + 1
	node.self = &entry{record: Record{}}
	node.self.replace(record)
	node.links = map[string]*link{}
	node.logOutlived(record.Incarnation)
}

// logOutlived logs that the incarnation was raised, at most every outlivedLogInterval: two live daemons of one name raise theirs in
// turn with each exchange.
func (node *Node) logOutlived(incarnation uint64) {
	now := node.clock.Now()
	if !node.outlivedLoggedAt.IsZero() && now.Sub(node.outlivedLoggedAt) < outlivedLogInterval {
		return
	}
	node.outlivedLoggedAt = now
	event.PeerOutlived.Log("Incarnation", incarnation)
}

// removeSilent removes the records of daemons that were not seen within the forget timeout, and links that are no
// longer needed. The caller holds the mutex.
func (node *Node) removeSilent(now time.Time, members []Member) {
	oldest := now.Add(-node.settings.ForgetTimeout)
	for name, entry := range node.others {
		if entry.lastSeen.Before(oldest) {
			delete(node.others, name)
			node.notifyChanged()
		}
	}
	for name := range node.links {
		_, known := node.others[name]
		listed := slices.ContainsFunc(members, func(member Member) bool { return member.Name == name })
		if !known && !listed {
			delete(node.links, name)
		}
	}
}

// compareMembers orders members by name.
func compareMembers(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
