package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/protocol"
)

// GreetAll sends greetings to all daemons at once, so that a change of state spreads without delay. It does
// not wait for responses.
func (node *Node) GreetAll(ctx context.Context) {
	node.mutex.Lock()
	addresses := node.members.startAll(node.clock.Now())
	node.mutex.Unlock()
	for _, address := range addresses {
		go node.greet(ctx, address)
	}
}

// greetDue starts a greeting to the daemon that is due next, if any, and removes expired daemons.
func (node *Node) greetDue(ctx context.Context) {
	now := node.clock.Now()
	node.mutex.Lock()
	node.members.sweep(now)
	address, due := node.members.startDue(now)
	node.mutex.Unlock()
	if due {
		go node.greet(ctx, address)
	}
}

// greet exchanges greetings with the daemon at the address. It requests the state of all daemons on first
// contact, and until a daemon has told it.
func (node *Node) greet(ctx context.Context, address string) {
	askAll := !node.isKnown(address) || !node.Joined()
	greeting := node.newGreeting(askAll)
	greeting.AskAll = askAll
	response, err := call[meshpb.Greeting, meshpb.Greeting](ctx, node, address, greetProcedure, greeting, node.settings.CallTimeout)
	node.mutex.Lock()
	if peer, ok := node.members.peers[address]; ok {
		peer.greeting = false
	}
	node.mutex.Unlock()
	if err != nil {
		return
	}
	node.receive(response)
	if askAll {
		node.mutex.Lock()
		node.joined = true
		node.mutex.Unlock()
	}
}

// isKnown reports whether a heartbeat of the daemon at the address was received.
func (node *Node) isKnown(address string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.isKnown(address)
}

// newGreeting returns a greeting with the state of this daemon and of some others, or of all.
func (node *Node) newGreeting(all bool) *meshpb.Greeting {
	state := node.deps.State()
	greeting := &meshpb.Greeting{
		Loads:    node.deps.InFlight().encode(),
		Suspects: encodeSuspects(node.deps.Suspects(), node.clock.Now()),
		Leaving:  encodeIncarnations(node.deps.Leaving()),
		Limits:   encodeLimits(node.deps.Limits(all), node.clock.Now()),
		Protocol: int64(protocol.Current),
	}
	node.mutex.Lock()
	heartbeats := node.members.heartbeats(state, node.clock.Now(), all)
	node.mutex.Unlock()
	for index := range heartbeats {
		greeting.News = append(greeting.News, heartbeats[index].encode())
	}
	return greeting
}

// receive processes a greeting. Requests in flight and the version of the protocol are those of the sender, whose heartbeat is the
// first.
func (node *Node) receive(greeting *meshpb.Greeting) {
	now := node.clock.Now()
	if heartbeats := greeting.GetNews(); len(heartbeats) > 0 {
		node.deps.Protocols.Observe(heartbeats[0].GetPeer().GetName(), greeting.GetProtocol())
	}
	if suspects := decodeSuspects(greeting.GetSuspects(), now); len(suspects) > 0 {
		node.deps.ReceiveSuspects(suspects)
	}
	if incarnations := decodeIncarnations(greeting.GetLeaving()); len(incarnations) > 0 {
		node.deps.ReceiveLeaving(incarnations)
	}
	if limits := decodeLimits(greeting.GetLimits(), now); len(limits) > 0 {
		node.deps.ReceiveLimits(limits)
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for index, encoded := range greeting.GetNews() {
		heartbeat := decodeHeartbeat(encoded)
		node.members.receive(heartbeat, now)
		if peer, ok := node.members.peers[heartbeat.Address]; ok && index == 0 {
			peer.InFlight = decodeInFlightCounts(greeting.GetLoads())
		}
	}
}
