package mesh

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// TestRelayedHeartbeatKeepsUnknownFields guards against issue 48: a daemon of an older build that passed the heartbeat of a newer one
// on stripped it of what it does not know, and the copy hid the original, which has the same sequence number.
func TestRelayedHeartbeatKeepsUnknownFields(t *testing.T) {
	unknown := protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "new")
	long := protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), make([]byte, maxUnknownBytes))
	for name, c := range map[string]struct{ sent, want []byte }{
		"none": {}, "some": {unknown, unknown}, "too many": {long, nil},
	} {
		news := &meshpb.News{Peer: &meshpb.Peer{Name: "b", Address: "127.0.0.1:2"}, Incarnation: 1, Beat: 2}
		news.ProtoReflect().SetUnknown(c.sent)
		content, err := proto.Marshal(news)
		if err != nil {
			t.Fatal(err)
		}
		received := &meshpb.News{}
		if err := proto.Unmarshal(content, received); err != nil {
			t.Fatal(err)
		}
		heartbeat := decodeHeartbeat(received)
		if got := heartbeat.encode().ProtoReflect().GetUnknown(); !bytes.Equal(got, c.want) || heartbeat.Sequence != 2 {
			t.Errorf("%s: relayed with %x, want %x", name, got, c.want)
		}
	}
}
