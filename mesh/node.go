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
	// messageLimit is the largest message in bytes.
	messageLimit = 8 << 20
	// compressFrom is the size in bytes from which answers are compressed.
	compressFrom = 32 << 10
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

	mutex   sync.Mutex
	members *members
}

// New returns a node that knows its seeds only.
func New(settings Settings, parts Parts, clk clock.WithTicker, random *rand.Rand) *Node {
	settings = settings.withDefaults()
	return &Node{settings: settings, parts: parts, clock: clk, members: newMembers(settings, random, clk.Now())}
}

// Run greets the other daemons until the context ends.
func (node *Node) Run(ctx context.Context) error {
	ticker := node.clock.NewTicker(node.settings.Every)
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
func (node *Node) Live() []Known {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.live(node.clock.Now())
}

// Count returns the number of daemons that were heard of lately.
func (node *Node) Count() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.count(node.clock.Now())
}

// Holder returns the daemon that told the highest fencing token lately.
func (node *Node) Holder() (Known, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	holder := node.members.holder(node.clock.Now())
	if holder == nil {
		return Known{}, false
	}
	return holder.Known, true
}

// Running returns the requests in flight from other daemons by replica.
func (node *Node) Running() map[topology.Incarnation]demand.InFlight {
	running := map[topology.Incarnation]demand.InFlight{}
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
	node.members.addSeeds(seeds)
}
