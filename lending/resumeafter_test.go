package lending

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
)

// TestLastEventOfLentRequests guards against issue 77 (review/14): another daemon took the event zero for none, and asked a replica for
// the whole stream.
func TestLastEventOfLentRequests(t *testing.T) {
	for _, last := range []exchange.EventID{{}, exchange.NewEventID(0), exchange.NewEventID(1), exchange.NewEventID(math.MaxUint64)} {
		encoded := &lendingpb.Request{}
		encodeResumeAfter(encoded, last)
		content, err := proto.Marshal(encoded)
		if err != nil {
			t.Fatal(err)
		}
		received := &lendingpb.Request{}
		if err := proto.Unmarshal(content, received); err != nil {
			t.Fatal(err)
		}
		if got := decodeResumeAfter(received); got != last {
			t.Errorf("%v is received as %v", last, got)
		}
	}
	// Builds before the field state a number above zero, or none.
	if got := decodeResumeAfter(&lendingpb.Request{ResumeAfter: 3}); got != exchange.NewEventID(3) {
		t.Errorf("event 3 of an earlier build is received as %v", got)
	}
}
