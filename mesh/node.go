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
	// tokensProcedure asks for tokens for replicas with limits.
	tokensProcedure = "/bronzestall.mesh.Mesh/Tokens"
	// quotasProcedure asks for amounts of the quotas of accounts.
	quotasProcedure = "/bronzestall.mesh.Mesh/Quotas"
	// originsProcedure asks which releases began streams.
	originsProcedure = "/bronzestall.mesh.Mesh/Origins"
	// pingProcedure asks whether a daemon responds.
	pingProcedure = "/bronzestall.mesh.Mesh/Ping"
	// proofsProcedure asks when replicas responded last.
	proofsProcedure = "/bronzestall.mesh.Mesh/Proofs"
	// tablesProcedure forwards a call to the platform's store.
	tablesProcedure = "/bronzestall.mesh.Mesh/Tables"
)

const (
	// maxMessageBytes is the largest size of a message.
	maxMessageBytes = 8 << 20
	// compressMinBytes is the size from which responses are compressed.
	compressMinBytes = 32 << 10
	// maxWait bounds the time that a response is delayed until newer data is available.
	maxWait = 5 * time.Second
	// slowGreetingInterval is the shortest interval of greetings to a lost daemon or to a seed that has not
	// responded.
	slowGreetingInterval = time.Second
)

// Node is one member of the mesh. It is safe for concurrent use. Use New.
type Node struct {
	settings Settings
	deps     Deps
	clock    clock.WithTicker

	mutex   sync.Mutex
	members *members
	// joined is set once another daemon has told this one all that it knows.
	joined bool
}

// New returns a node that knows only its seeds.
func New(settings Settings, deps Deps, clk clock.WithTicker, random *rand.Rand) *Node {
	settings = settings.withDefaults()
	return &Node{settings: settings, deps: deps, clock: clk, members: newMembers(settings, random, clk.Now())}
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

// Live returns the daemons with a recent heartbeat, ordered by name.
func (node *Node) Live() []Peer {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.live(node.clock.Now())
}

// LiveCount returns the number of daemons with a recent heartbeat.
func (node *Node) LiveCount() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.count(node.clock.Now())
}

// AddressOf returns the address of the daemon with the name, and whether a recent heartbeat of it was received.
func (node *Node) AddressOf(name string) (string, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.clock.Now()
	for address, peer := range node.members.peers {
		if peer.Name == name && node.members.isLive(peer, now) {
			return address, true
		}
	}
	return "", false
}

// Joined reports whether another daemon has told this one all that it knows, such as the limits of replicas.
func (node *Node) Joined() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.joined
}

// LeaseHolder returns the live daemon with the highest fencing token, and whether there is one.
func (node *Node) LeaseHolder() (Peer, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	holder := node.members.leaseHolder(node.clock.Now())
	if holder == nil {
		return Peer{}, false
	}
	return holder.Peer, true
}

// InFlightByReplica returns the requests in flight of all live daemons but this one, by replica.
func (node *Node) InFlightByReplica() map[topology.Incarnation]demand.InFlight {
	running := map[topology.Incarnation]demand.InFlight{}
	for _, peer := range node.Live() {
		for key, inFlight := range peer.InFlight {
			running[key.Incarnation] = running[key.Incarnation].Plus(inFlight)
		}
	}
	return running
}

// AddSeeds adds addresses of daemons to contact.
func (node *Node) AddSeeds(seeds []string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.members.addSeeds(seeds)
}
