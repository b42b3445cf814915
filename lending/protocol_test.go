package lending

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/relay"
)

// TestLentRequestsThatClaimAnOddProtocol checks that a lent request is served whatever version its sender claims, and whatever name.
func TestLentRequestsThatClaimAnOddProtocol(t *testing.T) {
	address := start(t, &server{serve: func(_ context.Context, into relay.Sink) (relay.Summary, *outcome.Error) {
		into.Head(http.StatusNoContent, nil, 0)
		return relay.Summary{}, nil
	}})
	for index, claim := range []int64{0, -1, 1_000_000_000, 1 << 62} {
		for _, daemon := range []string{"", fmt.Sprint("odd", index)} {
			content, err := proto.Marshal(&lendingpb.Request{Method: []byte("GET"), Path: []byte("/"), Budget: 1000, Attempts: 1, Daemon: daemon, Protocol: claim})
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.Post("http://"+address+Path, "application/octet-stream", bytes.NewReader(content))
			if err != nil {
				t.Fatal(err)
			}
			reply, err := decodeResponse(response)
			if err != nil || reply.Status != http.StatusNoContent || protocols.Version(daemon) != protocol.Untold {
				t.Errorf("%q with %d: %+v, %v, version %d", daemon, claim, reply, err, protocols.Version(daemon))
				continue
			}
			_ = reply.Body.Close()
		}
	}
}
