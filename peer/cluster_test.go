package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/utils/clock"
)

var errCut = errors.New("connection cut")

// cluster runs nodes that call each other in memory. It is used inside a synctest bubble.
type cluster struct {
	ctx     context.Context
	members []Member
	mutex   sync.Mutex
	// handlers holds the handler of the current process at each address.
	handlers map[string]http.Handler
	// cut holds pairs of addresses, as "from>to", whose calls fail.
	cut map[string]bool
	// unresponsive holds the addresses that accept calls and never respond.
	unresponsive map[string]bool
	// delay holds the network delay of responses from an address.
	delay map[string]time.Duration
	// calls counts the calls of all processes.
	calls int
}

func newCluster(ctx context.Context, dataCentres ...int) *cluster {
	cluster := &cluster{ctx: ctx, handlers: map[string]http.Handler{}, cut: map[string]bool{}, unresponsive: map[string]bool{}, delay: map[string]time.Duration{}}
	for dataCentre, daemons := range dataCentres {
		for number := range daemons {
			name := fmt.Sprintf("entry-%d-%d", dataCentre, number)
			cluster.members = append(cluster.members, Member{
				Name:       name,
				Address:    name + ":1",
				DataCentre: fmt.Sprintf("dc-%d", dataCentre),
			})
		}
	}
	return cluster
}

// start runs a process for the member. It returns its node and a function that stops it.
func (cluster *cluster) start(member Member, incarnation uint64, mode Mode, clock clock.WithTicker) (*Node, context.CancelFunc) {
	node := NewNode(Settings{
		Name:        member.Name,
		DataCentre:  member.DataCentre,
		PeerAddress: member.Address,
		Incarnation: incarnation,
		Mode:        mode,
		Fanout:      *fanout,
		Client:      &memoryClient{cluster: cluster, address: member.Address},
		Members:     MembersFunc(func() []Member { return cluster.members }),
	}, clock, rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(member.Name))))
	cluster.mutex.Lock()
	cluster.handlers[member.Address] = node.Handler()
	cluster.mutex.Unlock()
	ctx, cancel := context.WithCancel(cluster.ctx)
	go func() { _ = node.Run(ctx) }()
	return node, cancel
}

func (cluster *cluster) startAll(mode Mode) []*Node {
	var nodes []*Node
	for _, member := range cluster.members {
		node, _ := cluster.start(member, 1, mode, clock.RealClock{})
		nodes = append(nodes, node)
	}
	return nodes
}

// memoryClient is the HTTP client of one process. It calls the handlers of the cluster.
type memoryClient struct {
	cluster *cluster
	address string
}

func (memoryClient *memoryClient) Do(request *http.Request) (*http.Response, error) {
	cluster := memoryClient.cluster
	cluster.mutex.Lock()
	cluster.calls++
	handler := cluster.handlers[request.URL.Host]
	lost := cluster.cut[memoryClient.address+">"+request.URL.Host] || handler == nil
	unresponsive := cluster.unresponsive[request.URL.Host]
	delay := cluster.delay[request.URL.Host]
	cluster.mutex.Unlock()
	if lost {
		return nil, errCut
	}
	if unresponsive {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-request.Context().Done():
			return nil, request.Context().Err()
		}
	}
	response := recorder.Result()
	response.Request = request
	return response, nil
}

// countCalls returns the number of calls of all processes.
func (cluster *cluster) countCalls() int {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.calls
}

// setUnresponsive makes a daemon accept calls and never respond.
func (cluster *cluster) setUnresponsive(member Member) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.unresponsive[member.Address] = true
}

func (cluster *cluster) setDelay(member Member, delay time.Duration) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.delay[member.Address] = delay
}

func (cluster *cluster) setCut(from, to Member, cut bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.cut[from.Address+">"+to.Address] = cut
}

// findPeer returns the newest record of the named daemon that the node has.
func findPeer(node *Node, name string) (Peer, bool) {
	for _, known := range node.Records() {
		if known.Record.Name == name {
			return known, true
		}
	}
	return Peer{}, false
}

func requirePeer(t *testing.T, node *Node, name string) Peer {
	t.Helper()
	known, ok := findPeer(node, name)
	if !ok {
		t.Fatalf("%s has no record of %s", node.Self().Name, name)
	}
	return known
}

// settleTime is enough for records to reach all nodes.
const settleTime = 12 * time.Second
