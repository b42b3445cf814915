package mesh

import (
	"math"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/topology"
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

// TestGreetingsThatClaimAnOddProtocol checks that the rest of a greeting is received whatever version it claims.
func TestGreetingsThatClaimAnOddProtocol(t *testing.T) {
	const protocolField = 7
	for name, claim := range map[string][]byte{
		"10^9": varint(protocolField, 1_000_000_000), "negative": varint(protocolField, math.MaxUint64), "none": nil,
		"empty":   protowire.AppendString(protowire.AppendTag(nil, protocolField, protowire.BytesType), ""),
		"a float": protowire.AppendFixed32(protowire.AppendTag(nil, protocolField, protowire.Fixed32Type), 1),
	} {
		daemon := newTestDaemon(t, "a", State{}, nil)
		content, err := proto.Marshal(&meshpb.Greeting{
			News:    []*meshpb.News{{Peer: &meshpb.Peer{Name: "b", Address: "127.0.0.1:2"}, Incarnation: 1, Beat: 2}},
			Leaving: encodeIncarnations([]topology.Incarnation{{ID: "e", Started: 1}}),
		})
		if err != nil {
			t.Fatal(err)
		}
		greeting := &meshpb.Greeting{}
		if err := proto.Unmarshal(append(content, claim...), greeting); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		daemon.receive(greeting)
		if version := daemon.protocols.Version("b"); version != protocol.Untold || !daemon.isKnown("127.0.0.1:2") || len(daemon.notices.LatestLeaving(8)) != 1 {
			t.Errorf("%s: version %d, known: %t, leaving %v", name, version, daemon.isKnown("127.0.0.1:2"), daemon.notices.LatestLeaving(8))
		}
	}
}

func varint(field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, field, protowire.VarintType), value)
}
