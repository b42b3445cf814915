package peer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer/peerpb"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestRecordOfLaterReleaseIsDecoded sends a record with a field and an enum code that this release does not know.
func TestRecordOfLaterReleaseIsDecoded(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 2)
		node, _ := cluster.start(cluster.members[0], 1, FullMesh, clock.RealClock{})
		later := &entry{}
		later.replace(Record{
			Name: "entry-0-1", Incarnation: 3, Version: 8, DataCentre: "dc-0", InForce: 12,
			Observations: []Observation{{Seen: time.Now(), State: testState("gpu-1", 4, 2)}},
		})
		record := later.difference(0, time.Now())
		record.Observations[0].Shape.Role = 99
		content, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		const unknownField = 200
		content = protowire.AppendTag(content, unknownField, protowire.BytesType)
		content = protowire.AppendString(content, "of a later release")
		decoded := &peerpb.Record{}
		if err := proto.Unmarshal(content, decoded); err != nil {
			t.Fatal(err)
		}
		request := &peerpb.ExchangeRequest{Sender: &peerpb.Digest{Name: "entry-0-1", Incarnation: 3, Version: 8}, Record: decoded}
		response := node.handleRequest(request)
		if response.GetKnown().GetVersion() != 8 {
			t.Errorf("known version after the record: %v", response.GetKnown())
		}
		got := requirePeer(t, node, "entry-0-1").Record
		if got.InForce != 12 || got.Observations[0].State.Role != upstream.Mixed || got.Observations[0].State.Replicas[0].Running != 2 {
			t.Errorf("record: %+v", got)
		}
	})
}
