package mesh

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
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

// GreetAll greets all daemons at once, to tell them something new.
func (node *Node) GreetAll(ctx context.Context) {
	node.greetDue(ctx, true)
}

// interval returns the time between two greetings of one daemon. The mutex is held.
func (node *Node) interval() time.Duration {
	return node.settings.Every * time.Duration(max(len(node.known), 3))
}

// greetDue greets the daemons whose turn it is, or all.
func (node *Node) greetDue(ctx context.Context, all bool) {
	now := node.clock.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for address, contact := range node.known {
		node.check(contact, now)
		if !contact.Heard.IsZero() && now.Sub(contact.Heard) > forgetAfter && !slices.Contains(node.settings.Seeds, address) {
			delete(node.known, address)
			continue
		}
		if contact.busy || (!all && now.Before(contact.next)) {
			continue
		}
		contact.busy = true
		contact.next = now.Add(node.interval())
		if contact.lost || contact.Name == "" {
			contact.next = now.Add(slowEvery)
		}
		go node.greet(ctx, address)
	}
}

// check notes that a daemon is lost. The mutex is held.
func (node *Node) check(contact *contact, now time.Time) {
	silent := now.Sub(contact.Heard)
	if contact.Name != "" && !contact.lost && silent > node.lostAfter() {
		contact.lost = true
		event.PeerLost.Log("Daemon", contact.Name, "Address", contact.Address, "SilentFor", silent)
	}
}

// lostAfter returns the silence after which a daemon counts as lost. The mutex is held.
func (node *Node) lostAfter() time.Duration {
	return lostAfter*node.interval() + lostGrace
}

// greet exchanges greetings with one daemon.
func (node *Node) greet(ctx context.Context, address string) {
	greeting := node.greeting(!node.met(address))
	answer, err := call[meshpb.Greeting, meshpb.Greeting](ctx, node, address, greetProcedure, greeting, node.settings.CallTimeout)
	node.mutex.Lock()
	if contact, ok := node.known[address]; ok {
		contact.busy = false
	}
	node.mutex.Unlock()
	if err == nil {
		node.hear(answer)
	}
}

// met reports whether the daemon at the address was heard.
func (node *Node) met(address string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	known, ok := node.known[address]
	return ok && known.Name != ""
}

// greeting returns what this daemon tells of itself. It names the other daemons if asked to, and at times.
func (node *Node) greeting(namesPeers bool) *meshpb.Greeting {
	state := node.parts.State()
	greeting := &meshpb.Greeting{
		Self:          &meshpb.Peer{Name: node.settings.Self.Name, Address: node.settings.Self.Address},
		Configuration: state.Configuration,
		Roster:        state.Roster,
		StoreAge:      uint64(state.StoreAge.Milliseconds()),
		Fence:         state.Fence,
		Leaving:       state.Leaving,
		Loads:         state.Loads.encode(),
	}
	node.mutex.Lock()
	node.greetings++
	namesPeers = namesPeers || node.greetings%peersEvery == 0
	node.mutex.Unlock()
	if !namesPeers {
		return greeting
	}
	for _, live := range node.Live() {
		greeting.Peers = append(greeting.Peers, &meshpb.Peer{Name: live.Name, Address: live.Address})
	}
	return greeting
}

// hear takes a greeting.
func (node *Node) hear(greeting *meshpb.Greeting) {
	now := node.clock.Now()
	node.mutex.Lock()
	defer node.mutex.Unlock()
	address := greeting.GetSelf().GetAddress()
	if address != "" && address != node.settings.Self.Address {
		contact := node.contact(address)
		if contact.lost || contact.Name == "" {
			contact.lost = false
			contact.next = time.Time{}
			event.PeerFound.Log("Daemon", greeting.GetSelf().GetName(), "Address", address)
		}
		contact.Name = greeting.GetSelf().GetName()
		contact.Heard = now
		contact.State = State{
			Configuration: greeting.GetConfiguration(),
			Roster:        greeting.GetRoster(),
			StoreAge:      milliseconds(greeting.GetStoreAge()),
			Fence:         greeting.GetFence(),
			Leaving:       greeting.GetLeaving(),
			Loads:         decodeLoads(greeting.GetLoads()),
		}
	}
	for _, peer := range greeting.GetPeers() {
		if peer.GetAddress() != node.settings.Self.Address && peer.GetAddress() != "" {
			node.contact(peer.GetAddress())
		}
	}
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
		if contact.Name != "" && now.Sub(contact.Heard) <= node.lostAfter() {
			live = append(live, contact.Known)
		}
	}
	slices.SortFunc(live, func(a, b Known) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Holder returns the daemon that told the highest fencing token lately.
func (node *Node) Holder() (Known, bool) {
	best := Known{}
	for _, live := range node.Live() {
		if live.Fence > best.Fence {
			best = live
		}
	}
	return best, best.Fence > 0
}

// Running returns the requests in flight from other daemons by replica.
func (node *Node) Running() map[topology.Incarnation]int {
	running := map[topology.Incarnation]int{}
	for _, live := range node.Live() {
		for place, count := range live.Loads {
			running[place.Incarnation] += count
		}
	}
	return running
}

// Sync sends a report to the holder of the lease and returns its announcement. Its lists are empty unless it
// is newer than the one named in the report.
func (node *Node) Sync(ctx context.Context, address string, report Report) (directory.Announcement, error) {
	encoded := report.encode(node.clock.Now())
	answer, err := call[meshpb.Report, meshpb.Announcement](ctx, node, address, syncProcedure, encoded, node.settings.CallTimeout+report.Wait)
	if err != nil {
		return directory.Announcement{}, err
	}
	return decodeAnnouncement(answer, node.clock.Now()), nil
}

// Ask asks the daemon at the address for what is newer.
func (node *Node) Ask(ctx context.Context, address string, question Question) (Answer, error) {
	encoded := &meshpb.Question{Configuration: question.Configuration, Roster: question.Roster}
	answer, err := call[meshpb.Question, meshpb.Answer](ctx, node, address, askProcedure, encoded, node.settings.CallTimeout)
	if err != nil {
		return Answer{}, err
	}
	return decodeAnswer(answer), nil
}

// Handler serves the calls of other daemons.
func (node *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, greetProcedure, func(_ context.Context, greeting *meshpb.Greeting) (*meshpb.Greeting, error) {
		met := node.met(greeting.GetSelf().GetAddress())
		node.hear(greeting)
		return node.greeting(!met), nil
	})
	handle(mux, syncProcedure, node.serveSync)
	handle(mux, tablesProcedure, node.serveTables)
	handle(mux, askProcedure, func(_ context.Context, question *meshpb.Question) (*meshpb.Answer, error) {
		answer := node.parts.Answer(Question{Configuration: question.GetConfiguration(), Roster: question.GetRoster()})
		return answer.encode(), nil
	})
	return mux
}

func (node *Node) serveSync(ctx context.Context, encoded *meshpb.Report) (*meshpb.Announcement, error) {
	announcement, err := node.parts.Sync(ctx, decodeReport(encoded, node.clock.Now()))
	if err != nil {
		return nil, err
	}
	newer := announcement.Newer(encoded.GetFence(), encoded.GetRevision())
	changed := announcement.After(encoded.GetFence(), encoded.GetRevision())
	return encodeAnnouncement(&changed, newer, node.clock.Now()), nil
}

// call sends one message to the procedure at the address.
func call[Request, Response any](ctx context.Context, node *Node, address, procedure string, request *Request, timeout time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := connect.NewClient[Request, Response](node.settings.Client, "http://"+address+procedure, connect.WithReadMaxBytes(messageLimit))
	response, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

// handle mounts one procedure.
func handle[Request, Response any](mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := serve(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithReadMaxBytes(messageLimit), connect.WithCompressMinBytes(compressFrom)))
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
