package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// instantCluster is a fleet of replicas that respond immediately with a fixed number of pieces.
type instantCluster struct {
	*fakeCluster
	snapshot Snapshot
	pieces   int
}

func (instantCluster *instantCluster) Replicas(catalogue.Target) (Snapshot, error) {
	return instantCluster.snapshot, nil
}

func (instantCluster *instantCluster) Generator(string) (upstream.Generator, bool) {
	return instantCluster, true
}

func (instantCluster *instantCluster) Probe(context.Context) (string, error) { return "", nil }

func (instantCluster *instantCluster) Generate(context.Context, upstream.Generation) (upstream.Stream, error) {
	return &instantStream{left: instantCluster.pieces}, nil
}

type instantStream struct{ left, next int }

var instantData = []byte(`{"choices":[{"delta":{"content":"token"}}]}`)

func (stream *instantStream) Status() int                       { return 200 }
func (stream *instantStream) ContentType() string               { return "" }
func (stream *instantStream) Load() (upstream.LoadReport, bool) { return upstream.LoadReport{}, true }
func (stream *instantStream) Close() error                      { return nil }

func (stream *instantStream) Next(context.Context) (upstream.Piece, error) {
	if stream.next == stream.left {
		return upstream.Piece{}, io.EOF
	}
	stream.next++
	return upstream.Piece{Index: stream.next, Data: instantData, Tokens: 1}, nil
}

// nullSink discards the response.
type nullSink struct{ begun bool }

func (sink *nullSink) Begin(int, string) error { sink.begun = true; return nil }
func (sink *nullSink) Chunk([]byte) error      { return nil }
func (sink *nullSink) Begun() bool             { return sink.begun }

// BenchmarkDo measures one request with 600 replicas that respond immediately. With one piece this is the cost
// of admission, routing and completion; each further piece adds the cost of relaying it.
func BenchmarkDo(b *testing.B) {
	for _, pieces := range []int{1, 1001} {
		b.Run(fmt.Sprint("pieces ", pieces), func(b *testing.B) {
			cluster := &instantCluster{fakeCluster: newCluster(), pieces: pieces}
			for n := range 600 {
				cluster.snapshot.Local = append(cluster.snapshot.Local, route.Candidate{Upstream: fmt.Sprint("u", n), Slots: 16, Reported: time.Now()})
			}
			deps := Deps{Fleet: cluster, Engines: cluster, Demand: cluster}
			dispatcher := New(Settings{}, deps, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
			req := chatRequest("b")
			req.Deadline = time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if err := dispatcher.Do(context.Background(), req, &nullSink{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
