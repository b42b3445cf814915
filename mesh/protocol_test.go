package mesh

import (
	"testing"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/protocol"
)

// TestGreetingsTellTheProtocol checks that two daemons know the version of each other after one exchange of greetings, and that a
// daemon is not taken to have the version of one whose heartbeat it passes on.
func TestGreetingsTellTheProtocol(t *testing.T) {
	first, second := newTestDaemon(t, "a", State{}, nil), newTestDaemon(t, "b", State{}, nil)
	first.greet(t.Context(), second.address)
	if a, b := second.protocols.Version("a"), first.protocols.Version("b"); a != protocol.Current || b != protocol.Current {
		t.Errorf("versions %d and %d", a, b)
	}
	greeting := second.newGreeting(true)
	greeting.Protocol = 5
	greeting.News = append(greeting.News, &meshpb.News{Peer: &meshpb.Peer{Name: "c", Address: "127.0.0.1:3"}, Incarnation: 1})
	first.receive(greeting)
	if b, c := first.protocols.Version("b"), first.protocols.Version("c"); b != 5 || c != protocol.Untold {
		t.Errorf("versions %d and %d", b, c)
	}
	first.receive(&meshpb.Greeting{Protocol: 6})
}
