package mesh

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// The procedures between daemons.
const (
	greetProcedure = "/bronzestall.mesh.Mesh/Greet"
	syncProcedure  = "/bronzestall.mesh.Mesh/Sync"
	askProcedure   = "/bronzestall.mesh.Mesh/Ask"
	// tablesProcedure makes a call to the platform's store.
	tablesProcedure = "/bronzestall.mesh.Mesh/Tables"
)

const (
	// messageLimit is the largest message in bytes.
	messageLimit = 8 << 20
	// compressFrom is the size in bytes from which answers are compressed.
	compressFrom = 32 << 10
	// lostAfter is the number of greeting intervals, beside lostGrace, after which an unheard daemon counts as lost.
	lostAfter = 4
	lostGrace = 700 * time.Millisecond
	// forgetAfter is the time after which an unheard daemon is forgotten.
	forgetAfter = 20 * time.Second
	// peersEvery is the number of greetings of which one names the other daemons.
	peersEvery = 8
	// longestWait bounds how long an answer waits for something newer.
	longestWait = 5 * time.Second
	// slowEvery is the interval of greetings to seeds and lost daemons.
	slowEvery = time.Second
)

// Node is one daemon among others. It is safe for concurrent use. Use New.
type Node struct {
	settings Settings
	parts    Parts
	clock    clock.WithTicker

	mutex sync.Mutex
	// greetings counts the greetings that were made.
	greetings uint64
	// known maps addresses to daemons. A seed that has not answered has no name.
	known map[string]*contact
}

// contact is another daemon and the calls to it.
type contact struct {
	Known
	// next is when it is greeted next, and busy that a call is under way.
	next time.Time
	busy bool
	// lost states that it was heard before and is not any more.
	lost bool
}

// New returns a node that knows its seeds only.
func New(settings Settings, parts Parts, clk clock.WithTicker) *Node {
	node := &Node{settings: settings.withDefaults(), parts: parts, clock: clk, known: map[string]*contact{}}
	for _, seed := range settings.Seeds {
		if seed != settings.Self.Address {
			node.known[seed] = &contact{Known: Known{Member: Member{Address: seed}}}
		}
	}
	return node
}

// Run greets the other daemons until the context ends.
func (node *Node) Run(ctx context.Context) error {
	ticker := node.clock.NewTicker(node.settings.Every)
	defer ticker.Stop()
	for {
		node.greetDue(ctx, false)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// lostAfter returns the silence after which a daemon counts as lost. The mutex is held.
func (node *Node) lostAfter() time.Duration {
	return lostAfter*node.interval() + lostGrace
}

// contact returns the daemon at the address. The mutex is held.
func (node *Node) contact(address string) *contact {
	known, ok := node.known[address]
	if !ok {
		known = &contact{Known: Known{Member: Member{Address: address}, Heard: time.Time{}}}
		node.known[address] = known
	}
	return known
}

// Live returns the daemons that were heard lately, ordered by name.
func (node *Node) Live() []Known {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	var live []Known
	for _, contact := range node.known {
		if node.lives(contact, now) {
			live = append(live, contact.Known)
		}
	}
	slices.SortFunc(live, func(a, b Known) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Count returns the number of daemons that were heard lately.
func (node *Node) Count() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now, count := node.clock.Now(), 0
	for _, contact := range node.known {
		if node.lives(contact, now) {
			count++
		}
	}
	return count
}

// lives reports whether the daemon was heard lately. The mutex is held.
func (node *Node) lives(contact *contact, now time.Time) bool {
	return contact.Name != "" && now.Sub(contact.Heard) <= node.lostAfter()
}

// Holder returns the daemon that told the highest fencing token lately.
func (node *Node) Holder() (Known, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	best := Known{}
	for _, contact := range node.known {
		if contact.Fence > best.Fence && node.lives(contact, now) {
			best = contact.Known
		}
	}
	return best, best.Fence > 0
}

// Running returns the requests in flight from other daemons by replica.
func (node *Node) Running() map[topology.Incarnation]demand.Flight {
	running := map[topology.Incarnation]demand.Flight{}
	for _, live := range node.Live() {
		for place, flight := range live.Loads {
			running[place.Incarnation] = running[place.Incarnation].Plus(flight)
		}
	}
	return running
}

// AddSeeds adds addresses of daemons to ask.
func (node *Node) AddSeeds(seeds []string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for _, seed := range seeds {
		if seed != node.settings.Self.Address {
			node.contact(seed)
		}
	}
}
