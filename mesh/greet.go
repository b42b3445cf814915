package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// GreetAll greets all daemons at once, to tell them something new.
func (node *Node) GreetAll(ctx context.Context) {
	node.mutex.Lock()
	addresses := node.members.all(node.clock.Now())
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
	address, due := node.members.due(now)
	node.mutex.Unlock()
	if due {
		go node.greet(ctx, address)
	}
}

// greet exchanges greetings with one daemon.
func (node *Node) greet(ctx context.Context, address string) {
	asks := !node.met(address)
	greeting := node.greeting(asks)
	greeting.AskAll = asks
	answer, err := call[meshpb.Greeting, meshpb.Greeting](ctx, node, address, greetProcedure, greeting, node.settings.CallTimeout)
	node.mutex.Lock()
	if contact, ok := node.members.known[address]; ok {
		contact.busy = false
	}
	node.mutex.Unlock()
	if err == nil {
		node.hear(answer)
	}
}

// met reports whether the daemon at the address was heard of.
func (node *Node) met(address string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.members.met(address)
}

// greeting returns what this daemon tells of itself and of some others, or of all.
func (node *Node) greeting(all bool) *meshpb.Greeting {
	state := node.parts.State()
	greeting := &meshpb.Greeting{
		Loads:    node.parts.InFlight().encode(),
		Suspects: encodeSuspects(node.parts.Suspects(), node.clock.Now()),
		Leaving:  encodeRuns(node.parts.Leaving()),
	}
	node.mutex.Lock()
	told := node.members.tell(state, node.clock.Now(), all)
	node.mutex.Unlock()
	for index := range told {
		greeting.News = append(greeting.News, told[index].encode())
	}
	return greeting
}

// hear takes a greeting.
func (node *Node) hear(greeting *meshpb.Greeting) {
	now := node.clock.Now()
	if suspects := decodeSuspects(greeting.GetSuspects(), now); len(suspects) > 0 {
		node.parts.ReceiveSuspects(suspects)
	}
	if runs := decodeRuns(greeting.GetLeaving()); len(runs) > 0 {
		node.parts.ReceiveLeaving(runs)
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for index, encoded := range greeting.GetNews() {
		news := decodeNews(encoded)
		node.members.hear(news, now)
		if contact, ok := node.members.known[news.Address]; ok && index == 0 {
			contact.InFlight = decodeLoads(greeting.GetLoads())
		}
	}
}
