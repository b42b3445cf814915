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
)

// liveRounds is the number of silent intervals after which a daemon does not count as live.
const liveRounds = 5

// Node is the part of one daemon in the exchange. Use NewNode. Its methods may
// be called from several goroutines.
type Node struct {
	settings Settings
	clock    clock.WithTicker
	wire     *wire

	mutex sync.Mutex
	// random is guarded by mutex.
	random *rand.Rand
	// began and process are those of the marks of this process.
	began   time.Time
	process uint64
	// self is the own record; its version rises only.
	self *held
	// others holds the records of other daemons by name.
	others map[string]*held
	// links holds what is known of the calls to and from each member.
	links map[string]*link
	// changed is closed at the next change of others.
	changed chan struct{}
	// rounds counts the rounds that were not urgent.
	rounds int
	// turn counts the exchanges with other data centres and chooses the next.
	turn int
	// urgent has room for one signal and asks for a round at once.
	urgent chan struct{}
}

// NewNode returns a node that knows nothing but its own settings.
func NewNode(settings Settings, clock clock.WithTicker, random *rand.Rand) *Node {
	settings = settings.withDefaults()
	node := &Node{
		settings: settings,
		clock:    clock,
		wire:     newWire(settings),
		random:   random,
		others:   map[string]*held{},
		links:    map[string]*link{},
		changed:  make(chan struct{}),
		urgent:   make(chan struct{}, 1),
	}
	node.began = clock.Now()
	node.process = random.Uint64()
	node.self = &held{record: node.identify(Record{Version: 1})}
	return node
}

// identify fills in what the settings say of the daemon itself.
func (node *Node) identify(record Record) Record {
	record.Name = node.settings.Name
	record.Incarnation = node.settings.Incarnation
	record.DataCentre = node.settings.DataCentre
	record.PeerAddress = node.settings.PeerAddress
	record.CallerAddress = node.settings.CallerAddress
	return record
}

// Update changes the own record. Name, incarnation, version, data centre and
// addresses are the node's and stay. A change of Leaving, InForce, Suspects or of
// more than the load of an upstream is sent at once, others with the next round.
// The function must not block and must not change slices in place.
func (node *Node) Update(change func(Record) Record) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	last := node.self.record
	next := node.identify(change(last))
	next.Incarnation = last.Incarnation
	next.Version = last.Version + 1
	node.self.replace(next)
	urgent := last.Leaving != next.Leaving || last.InForce != next.InForce || node.self.suspectsAt == next.Version
	if urgent || node.self.reshaped() {
		node.hurry()
	}
}

func (node *Node) hurry() {
	select {
	case node.urgent <- struct{}{}:
	default:
	}
}

// Self returns the own record.
func (node *Node) Self() Record {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.self.record
}

// Records returns the newest records of the other daemons, ordered by name.
func (node *Node) Records() []Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	known := make([]Peer, 0, len(node.others))
	for _, name := range slices.Sorted(maps.Keys(node.others)) {
		held := node.others[name]
		known = append(known, Peer{Record: held.record, LastSeen: held.heard})
	}
	return known
}

// Record returns the newest record of one other daemon, or false if none is known.
func (node *Node) Record(name string) (Peer, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	held, ok := node.others[name]
	if !ok {
		return Peer{}, false
	}
	return Peer{Record: held.record, LastSeen: held.heard}, true
}

// Changed returns a channel that is closed at the next change of Records.
func (node *Node) Changed() <-chan struct{} {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.changed
}

// Live returns the names of the daemons of the own data centre that were heard
// lately and do not leave, ordered, with the own name unless it leaves.
func (node *Node) Live() []string {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	oldest := node.clock.Now().Add(-liveRounds * node.settings.Interval)
	var live []string
	if !node.self.record.Leaving {
		live = append(live, node.settings.Name)
	}
	for name, held := range node.others {
		record := held.record
		if record.DataCentre == node.settings.DataCentre && !record.Leaving && !held.heard.Before(oldest) {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return live
}

// HighestInForce returns the largest number in force that this daemon or a peer has told.
func (node *Node) HighestInForce() uint64 {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	highest := node.self.record.InForce
	for _, held := range node.others {
		highest = max(highest, held.record.InForce)
	}
	return highest
}

// take merges a record from a message that was made after the time. The caller holds the mutex.
func (node *Node) take(message *peerpb.Record, made time.Time) {
	name := message.GetName()
	heard := made.Add(-duration(message.GetAge()))
	if name == "" || name == node.settings.Name || made.Sub(heard) > node.settings.ForgetTimeout {
		return
	}
	known, ok := node.others[name]
	if ok && message.GetIncarnation() < known.record.Incarnation {
		return
	}
	fresh := !ok || message.GetIncarnation() > known.record.Incarnation
	if fresh {
		known = &held{}
	}
	if message.GetVersion() > known.record.Version {
		next, complete := apply(known.record, message, made)
		if !complete {
			return
		}
		known.replace(next)
		node.announce()
	}
	if known.record.Version == 0 {
		return
	}
	node.others[name] = known
	if heard.After(known.heard) {
		known.heard = heard
	}
}

// announce wakes those that wait for a change. The caller holds the mutex.
func (node *Node) announce() {
	close(node.changed)
	node.changed = make(chan struct{})
}

// outlive raises the own incarnation above one that a peer remembers of a
// former process of this name. The caller holds the mutex.
func (node *Node) outlive(remembered *peerpb.Digest) {
	record := node.self.record
	if remembered.GetName() != record.Name || remembered.GetIncarnation() <= record.Incarnation {
		return
	}
	record.Incarnation = remembered.GetIncarnation() + 1
	node.self = &held{record: Record{}}
	node.self.replace(record)
	node.links = map[string]*link{}
	event.PeerOutlived.Log("Incarnation", record.Incarnation)
}

// forget drops records and links of daemons that are silent. The caller holds the mutex.
func (node *Node) forget(now time.Time, members []Member) {
	oldest := now.Add(-node.settings.ForgetTimeout)
	for name, held := range node.others {
		if held.heard.Before(oldest) {
			delete(node.others, name)
			node.announce()
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
