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

// instant is a fleet of replicas that answer at once with a number of pieces.
type instant struct {
	*fakeWorld
	snapshot Snapshot
	pieces   int
}

func (instant *instant) Replicas(catalogue.Target) (Snapshot, error) { return instant.snapshot, nil }
func (instant *instant) Generator(string) (upstream.Generator, bool) { return instant, true }
func (instant *instant) Probe(context.Context) (string, error)       { return "", nil }
func (instant *instant) Generate(context.Context, upstream.Generation) (upstream.Stream, error) {
	return &instantStream{left: instant.pieces}, nil
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

// nullSink drops the answer.
type nullSink struct{ begun bool }

func (sink *nullSink) Begin(int, string) error { sink.begun = true; return nil }
func (sink *nullSink) Chunk([]byte) error      { return nil }
func (sink *nullSink) Begun() bool             { return sink.begun }

// BenchmarkDo measures one request through a dispatcher before 600 replicas that answer at once: with one
// piece it is the cost of admission, choice and end; each further piece is the cost of relaying it.
func BenchmarkDo(b *testing.B) {
	for _, pieces := range []int{1, 1001} {
		b.Run(fmt.Sprint("pieces ", pieces), func(b *testing.B) {
			world := &instant{fakeWorld: newWorld(), pieces: pieces}
			for n := range 600 {
				world.snapshot.Local = append(world.snapshot.Local, route.Candidate{Upstream: fmt.Sprint("u", n), Slots: 16, Reported: time.Now()})
			}
			deps := Deps{Fleet: world, Engines: world, Demand: world}
			dispatcher := New(Settings{}, deps, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
			req := chat("b")
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
