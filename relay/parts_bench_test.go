package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
)

// instantReplica is an Upstream that responds to each request with the same stream at once.
type instantReplica struct{ reply exchange.Reply }

func (replica *instantReplica) Send(context.Context, *exchange.Request, exchange.Attempt) (*exchange.Reply, error) {
	reply := replica.reply
	reply.Body = io.NopCloser(strings.NewReader(events(1, 3)))
	return &reply, nil
}

// BenchmarkServeWithParts measures the relay's own time for a stream with eight parts in its prompt.
func BenchmarkServeWithParts(b *testing.B) { benchmarkServe(b, "/stream/x") }

// BenchmarkServeResumable is the same for a stream that another replica may go on with.
func BenchmarkServeResumable(b *testing.B) { benchmarkServe(b, "/resume/x") }

func benchmarkServe(b *testing.B, path string) {
	fixture := newFixture()
	fixture.relay.deps.Upstream = &instantReplica{*ok(events(1, 3)).reply}
	request := fixture.request(path)
	for part := range 8 {
		request.Metadata.Prefix = append(request.Metadata.Prefix, exchange.Part{ID: fmt.Sprintf("%012x", part*7919), Tokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		next := *request
		next.Arrived = fixture.relay.deps.Clock.Now()
		if _, failure := fixture.relay.Serve(b.Context(), &next, &client{}); failure != nil {
			b.Fatal(failure)
		}
	}
}
