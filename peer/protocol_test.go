package peer

import (
	"math/rand/v2"
	"testing"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/protocol"
)

// TestExchangesTellTheProtocol checks that both sides of an exchange tell their version.
func TestExchangesTellTheProtocol(t *testing.T) {
	first, second := newNodeNamed("a"), newNodeNamed("b")
	request := first.newRequest(task{member: Member{Name: "b"}})
	response := second.handleRequest(request)
	first.handleResponse(first.link("b"), response, first.clock.Now(), first.clock.Now())
	if a, b := second.Protocol("a"), first.Protocol("b"); a != protocol.Current || b != protocol.Current {
		t.Errorf("versions %d and %d", a, b)
	}
	second.handleRequest(&peerpb.ExchangeRequest{Sender: &peerpb.Digest{Name: "a"}, Protocol: 1_000_000_000})
	if got := second.Protocol("a"); got != protocol.Untold {
		t.Errorf("a daemon that claims 10^9 has the version %d", got)
	}
}

// newNodeNamed returns a node without members.
func newNodeNamed(name string) *Node {
	settings := Settings{Name: name, Incarnation: 1, Members: MembersFunc(func() []Member { return nil })}
	return NewNode(settings, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
}
