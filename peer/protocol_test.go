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

// TestExchangesTellTheBuild checks that a daemon knows the build of another one, and goes without it where none is told.
func TestExchangesTellTheBuild(t *testing.T) {
	for _, build := range []string{"c0ffee", ""} {
		first, second := newNodeNamed("a"), newNodeNamed("b")
		first.settings.Build = build
		first.Update(func(record Record) Record { return record })
		second.handleRequest(first.newRequest(task{member: Member{Name: "b"}}))
		if got, ok := second.Record("a"); !ok || got.Record.Build != build {
			t.Errorf("the record is %+v, %t, want the build %q", got, ok, build)
		}
	}
}

// TestTwoDaemonsOfOneNameAndDifferentBuilds checks that the exchanges of both, and of others, go on.
func TestTwoDaemonsOfOneNameAndDifferentBuilds(t *testing.T) {
	node := newNodeNamed("b")
	for range 20 {
		for incarnation, build := range []string{"older", "newer"} {
			node.handleRequest(&peerpb.ExchangeRequest{
				Sender: &peerpb.Digest{Name: "a", Incarnation: uint64(incarnation) + 1, Version: 1}, Protocol: int64(incarnation),
				Record: &peerpb.Record{Name: "a", Incarnation: uint64(incarnation) + 1, Version: 1, Identity: &peerpb.Identity{Build: build}},
			})
		}
		node.handleRequest(&peerpb.ExchangeRequest{
			Sender: &peerpb.Digest{Name: "c", Incarnation: 1, Version: 1}, Protocol: -1,
			Record: &peerpb.Record{Name: "c", Incarnation: 1, Version: 1, Identity: &peerpb.Identity{Build: "x"}},
		})
	}
	a, _ := node.Record("a")
	if c, ok := node.Record("c"); a.Record.Build != "newer" || !ok || c.Record.Build != "x" || node.Protocol("c") != protocol.Untold {
		t.Errorf("the records are %+v and %+v", a, c)
	}
}

// newNodeNamed returns a node without members.
func newNodeNamed(name string) *Node {
	settings := Settings{Name: name, Incarnation: 1, Members: MembersFunc(func() []Member { return nil })}
	return NewNode(settings, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
}
