package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// GreetAll greets all daemons at once, to tell them something new.
func (node *Node) GreetAll(ctx context.Context) {
	node.mutex.Lock()
	addresses := node.members.startAll(node.clock.Now())
	node.mutex.Unlock()
	for _, address := range addresses {
		go node.greet(ctx, address)
	}
}

// greetDue greets the daemon whose turn it is.
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

// greet exchanges greetings with one daemon.
func (node *Node) greet(ctx context.Context, address string) {
	asks := !node.isKnown(address)
	greeting := node.newGreeting(asks)
	greeting.AskAll = asks
	answer, err := call[meshpb.Greeting, meshpb.Greeting](ctx, node, address, greetProcedure, greeting, node.settings.CallTimeout)
	node.mutex.Lock()
	if contact, ok := node.members.peers[address]; ok {
		contact.greeting = false
	}
	node.mutex.Unlock()
	if err == nil {
		node.receive(answer)
	}
}

// isKnown reports whether the daemon at the address was heard of.
func (node *Node) isKnown(address string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.isKnown(address)
}

// newGreeting returns what this daemon tells of itself and of some others, or of all.
func (node *Node) newGreeting(all bool) *meshpb.Greeting {
	state := node.deps.State()
	greeting := &meshpb.Greeting{
		Loads:    node.deps.InFlight().encode(),
		Suspects: encodeSuspects(node.deps.Suspects(), node.clock.Now()),
		Leaving:  encodeIncarnations(node.deps.Leaving()),
	}
	node.mutex.Lock()
	told := node.members.heartbeats(state, node.clock.Now(), all)
	node.mutex.Unlock()
	for index := range told {
		greeting.News = append(greeting.News, told[index].encode())
	}
	return greeting
}

// receive takes a greeting.
func (node *Node) receive(greeting *meshpb.Greeting) {
	now := node.clock.Now()
	if suspects := decodeSuspects(greeting.GetSuspects(), now); len(suspects) > 0 {
		node.deps.ReceiveSuspects(suspects)
	}
	if runs := decodeIncarnations(greeting.GetLeaving()); len(runs) > 0 {
		node.deps.ReceiveLeaving(runs)
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for index, encoded := range greeting.GetNews() {
		news := decodeHeartbeat(encoded)
		node.members.receive(news, now)
		if contact, ok := node.members.peers[news.Address]; ok && index == 0 {
			contact.InFlight = decodeInFlightCounts(greeting.GetLoads())
		}
	}
}
