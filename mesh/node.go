package mesh

import (
	"context"
	"math/rand/v2"
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
	// maxMessageBytes is the largest message in bytes.
	maxMessageBytes = 8 << 20
	// compressMinBytes is the size in bytes from which answers are compressed.
	compressMinBytes = 32 << 10
	// maxWait bounds how long an answer waits for something newer.
	maxWait = 5 * time.Second
	// slowGreetingInterval is the interval of greetings to seeds and lost daemons.
	slowGreetingInterval = time.Second
)

// Node is one daemon among others. It is safe for concurrent use. Use New.
type Node struct {
	settings Settings
	deps     Deps
	clock    clock.WithTicker

	mutex   sync.Mutex
	members *members
}

// New returns a node that knows its seeds only.
func New(settings Settings, parts Deps, clk clock.WithTicker, random *rand.Rand) *Node {
	settings = settings.withDefaults()
	return &Node{settings: settings, deps: parts, clock: clk, members: newMembers(settings, random, clk.Now())}
}

// Run greets the other daemons until the context ends.
func (node *Node) Run(ctx context.Context) error {
	ticker := node.clock.NewTicker(node.settings.GreetingInterval)
	defer ticker.Stop()
	for {
		node.greetDue(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
	}
}

// Live returns the daemons that were heard of lately, ordered by name.
func (node *Node) Live() []Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.live(node.clock.Now())
}

// LiveCount returns the number of daemons that were heard of lately.
func (node *Node) LiveCount() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.count(node.clock.Now())
}

// LeaseHolder returns the daemon that told the highest fencing token lately.
func (node *Node) LeaseHolder() (Peer, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	holder := node.members.leaseHolder(node.clock.Now())
	if holder == nil {
		return Peer{}, false
	}
	return holder.Peer, true
}

// InFlightByReplica returns the requests in flight from other daemons by replica.
func (node *Node) InFlightByReplica() map[topology.Incarnation]demand.Flight {
	running := map[topology.Incarnation]demand.Flight{}
	for _, live := range node.Live() {
		for place, flight := range live.InFlight {
			running[place.Incarnation] = running[place.Incarnation].Plus(flight)
		}
	}
	return running
}

// AddSeeds adds addresses of daemons to ask.
func (node *Node) AddSeeds(seeds []string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.members.addSeeds(seeds)
}
