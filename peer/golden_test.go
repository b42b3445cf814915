package peer

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

func TestRecordOfOtherBuilds(t *testing.T) {
	now := time.Unix(1000, 0)
	golden.Format[Record]{
		Name: "record", Variants: golden.Message(&peerpb.Record{}),
		Sample: Record{
			Name: "a", Incarnation: 2, Version: 3, DataCentre: "z", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", InForce: 4,
			Leaving: true, Running: 5, Waiting: 6,
			Observations: []Observation{{Seen: now.Add(-time.Second), State: upstream.State{
				Upstream: "u", Sequence: 7, BootID: "b", Role: upstream.Decode, Capacity: 8, Fence: 9, Leaving: true,
				Replicas:    []upstream.Replica{{Model: "m", Version: "1", Order: "o", Phase: upstream.Ready, Memory: 3, Adapters: []string{"x"}, Running: 1, Waiting: 2}},
				Checkpoints: map[string]upstream.Tier{"m": upstream.Memory},
			}}},
			Suspects: []Suspect{{Fingerprint: 1, Crashes: []Crash{{Upstream: "u", BootID: "b"}}, Until: now.Add(time.Minute)}},
			Backlogs: []Backlog{{Model: "m", Tenant: "t", Running: 1, Waiting: 2}},
		},
		Encode: func(sample Record) []byte {
			sent := &entry{}
			sent.replace(sample)
			sent.lastSeen = now
			content, err := proto.Marshal(sent.difference(0, now))
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (Record, error) {
			message := &peerpb.Record{}
			if err := proto.Unmarshal(content, message); err != nil {
				return Record{}, err
			}
			if message.GetIdentity() == nil {
				// A record of an unknown daemon without its identity is a difference.
				return Record{}, nil
			}
			record, complete := apply(Record{}, message, now)
			if !complete {
				return Record{}, errors.New("not a full record")
			}
			return record, nil
		},
	}.Check(t)
}

// FuzzExchange checks that no exchange of another build ends the daemon.
func FuzzExchange(f *testing.F) {
	f.Add([]byte{})
	request, err := proto.Marshal(&peerpb.ExchangeRequest{
		Sender: &peerpb.Digest{Name: "b", Incarnation: 1, Version: 2}, Known: []*peerpb.Digest{{Name: "a", Incarnation: 1}}, All: true,
		Record: &peerpb.Record{
			Name: "b", Incarnation: 1, Version: 2, Identity: &peerpb.Identity{DataCentre: "z"},
			Observations: []*peerpb.Observation{{Upstream: "u", Shape: &peerpb.Shape{Role: 9, Replicas: []*peerpb.Replica{{Phase: 9}}}, Loads: []uint32{1}}},
		},
		Mark: &peerpb.Mark{Process: 1, Time: 2}, MarkAge: 3, Protocol: -4,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Fuzz(func(t *testing.T, content []byte) {
		node := newNodeNamed("a")
		request, response := &peerpb.ExchangeRequest{}, &peerpb.ExchangeResponse{}
		if proto.Unmarshal(content, request) == nil {
			node.handleRequest(request)
		}
		if proto.Unmarshal(content, response) == nil {
			node.handleResponse(node.link("b"), response, node.clock.Now(), node.clock.Now())
		}
		if self := node.Self(); self.Name != "a" {
			t.Errorf("the daemon has the name %q", self.Name)
		}
	})
}
