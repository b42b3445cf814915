package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

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
		Self:          node.settings.Self.encode(),
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
		contact.DataCentre = greeting.GetSelf().GetDataCentre()
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
