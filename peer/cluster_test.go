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

var errCut = errors.New("cut off")

// cluster runs nodes that call each other in memory, for use inside a synctest bubble.
type cluster struct {
	ctx     context.Context
	members []Member
	mutex   sync.Mutex
	// handlers holds the handler of the live process at each address.
	handlers map[string]http.Handler
	// cut holds "from>to" pairs of addresses whose calls are lost.
	cut map[string]bool
	// slow holds the addresses that never answer.
	slow map[string]bool
	// late has the time for which an address's answers are on their way.
	late map[string]time.Duration
	// calls counts the calls sent.
	calls int
}

func newCluster(ctx context.Context, dataCentres ...int) *cluster {
	cluster := &cluster{ctx: ctx, handlers: map[string]http.Handler{}, cut: map[string]bool{}, slow: map[string]bool{}, late: map[string]time.Duration{}}
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

// start runs a process for the member and returns its node and the function that kills it.
func (cluster *cluster) start(member Member, incarnation uint64, way Mode, clock clock.WithTicker) (*Node, context.CancelFunc) {
	node := NewNode(Settings{
		Name:        member.Name,
		DataCentre:  member.DataCentre,
		PeerAddress: member.Address,
		Incarnation: incarnation,
		Mode:         way,
		Fanout:      *fanout,
		Client:      &sender{cluster: cluster, address: member.Address},
		Members:     MembersFunc(func() []Member { return cluster.members }),
	}, clock, rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(member.Name))))
	cluster.mutex.Lock()
	cluster.handlers[member.Address] = node.Handler()
	cluster.mutex.Unlock()
	ctx, cancel := context.WithCancel(cluster.ctx)
	go func() { _ = node.Run(ctx) }()
	return node, cancel
}

func (cluster *cluster) startAll(way Mode) []*Node {
	var nodes []*Node
	for _, member := range cluster.members {
		node, _ := cluster.start(member, 1, way, clock.RealClock{})
		nodes = append(nodes, node)
	}
	return nodes
}

// sender is the client of one process.
type sender struct {
	cluster *cluster
	address string
}

func (sender *sender) Do(request *http.Request) (*http.Response, error) {
	cluster := sender.cluster
	cluster.mutex.Lock()
	cluster.calls++
	handler := cluster.handlers[request.URL.Host]
	lost := cluster.cut[sender.address+">"+request.URL.Host] || handler == nil
	slow := cluster.slow[request.URL.Host]
	late := cluster.late[request.URL.Host]
	cluster.mutex.Unlock()
	if lost {
		return nil, errCut
	}
	if slow {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if late > 0 {
		select {
		case <-time.After(late):
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

// setSlow makes a daemon accept calls and never answer.
func (cluster *cluster) setSlow(member Member) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.slow[member.Address] = true
}

func (cluster *cluster) setLate(member Member, late time.Duration) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.late[member.Address] = late
}

func (cluster *cluster) setCut(from, to Member, cut bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.cut[from.Address+">"+to.Address] = cut
}

// recordOf returns what the node knows of a name.
func recordOf(node *Node, name string) (Peer, bool) {
	for _, known := range node.Records() {
		if known.Record.Name == name {
			return known, true
		}
	}
	return Peer{}, false
}

func mustKnow(t *testing.T, node *Node, name string) Peer {
	t.Helper()
	known, ok := recordOf(node, name)
	if !ok {
		t.Fatalf("%s does not know %s", node.Self().Name, name)
	}
	return known
}

const settle = 12 * time.Second
