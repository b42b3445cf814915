package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/standin/engine"
	"github.com/bronzestall/bronzestall/internal/standin/network"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// fixture is a stand-in engine with a client that is connected to it in memory.
type fixture struct {
	engine   *engine.Server
	listener *network.Listener
	client   *upstream.Client
}

// inBubble runs the test in a bubble of testing/synctest with an engine that has loaded the model m.
func inBubble(t *testing.T, settings engine.Settings, test func(t *testing.T, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings.Name = "e1"
		b := &fixture{engine: engine.New(settings, clock.RealClock{}), listener: network.NewPipe()}
		server := &http.Server{Handler: b.engine}
		go func() { _ = server.Serve(b.listener) }()
		b.client = upstream.NewClient(upstream.ClientSettings{Name: "e1", Address: "e1", Dial: b.listener.Dial}, clock.RealClock{})
		load := upstream.Order{ID: "load", Verb: upstream.Load, Model: "m", Version: "1", Memory: 1 << 30, Fence: 1}
		if verdict, err := b.client.Send(t.Context(), load); err != nil || verdict != upstream.Accepted {
			t.Fatalf("load returned %s, %v", verdict, err)
		}
		time.Sleep(time.Second)
		test(t, b)
		b.client.Close()
		b.engine.Close()
		_ = server.Close()
	})
}

// stallConnections stalls the open connections once the engine reads from all of them.
func (b *fixture) stallConnections() {
	synctest.Wait()
	b.listener.StallConnections()
}

// chat returns a generation of ten tokens by the model m.
func chat(id string, stream bool, words string) upstream.Generation {
	body := `{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"` + words + `"}]}`
	if stream {
		body = strings.Replace(body, `{`, `{"stream":true,`, 1)
	}
	return upstream.Generation{
		Request: request.Request{
			ID: id, API: request.Chat, Target: catalogue.Target{Model: "m"}, Stream: stream, Body: []byte(body),
		},
		Version: "1",
		Attempt: 1,
	}
}

// drain reads the stream to its end and returns the number of pieces and the final error.
func drain(stream upstream.Stream) (int, error) {
	for pieces := 0; ; pieces++ {
		if _, err := stream.Next(context.Background()); err != nil {
			return pieces, err
		}
	}
}

func TestResponsesAreComplete(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		inBubble(t, engine.Settings{FirstToken: 3 * time.Second}, func(t *testing.T, b *fixture) {
			stream, err := b.client.Generate(t.Context(), chat("r1", streamed, "hello"))
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			want := 1
			if streamed {
				want = 10
			}
			if pieces, err := drain(stream); pieces != want || !errors.Is(err, io.EOF) {
				t.Errorf("got %d pieces and %v", pieces, err)
			}
			if _, ok := stream.Load(); !ok {
				t.Error("no load report")
			}
		})
	}
}

func TestFaultyResponsesAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		stream bool
		words  string
		faults engine.Faults
		want   error
	}{
		{"header of another request", true, "", engine.Faults{CrossedHeads: 1}, upstream.ErrMismatched},
		{"header of another request, not streamed", false, "", engine.Faults{CrossedHeads: 1}, upstream.ErrMismatched},
		{"pieces of another request", true, "", engine.Faults{CrossedPieces: 1}, upstream.ErrMismatched},
		{"stream without end marker", true, "", engine.Faults{Truncated: 1}, upstream.ErrTruncated},
		{"body shorter than its declared length", false, "", engine.Faults{Truncated: 1}, upstream.ErrTruncated},
		{"crash", true, "CRASH-THE-ENGINE", engine.Faults{}, upstream.ErrTruncated},
		{"crash before the header", false, "CRASH-THE-ENGINE", engine.Faults{}, upstream.ErrNoResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, engine.Settings{FirstToken: 3 * time.Second}, func(t *testing.T, b *fixture) {
				b.engine.SetFaults(c.faults)
				stream, err := b.client.Generate(t.Context(), chat("r1", c.stream, c.words))
				if err == nil {
					defer stream.Close()
					_, err = drain(stream)
				}
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, not %v", err, c.want)
				}
			})
		})
	}
}

func TestRefusedGenerationDoesNotRun(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *fixture) {
		generation := chat("r1", true, "hello")
		generation.Version = "2"
		_, err := b.client.Generate(t.Context(), generation)
		var refused *upstream.RefusedError
		if !errors.As(err, &refused) || refused.Reason != "not loaded" {
			t.Errorf("got %v", err)
		}
		if runs := b.engine.Counts().Executions["r1"]; runs != 0 {
			t.Errorf("refused request ran %d times", runs)
		}
	})
}

// TestSilenceIsReportedAndEndsNothing guards against issue 33: a generation of a sound engine that sent nothing for a
// second was ended.
func TestSilenceIsReportedAndEndsNothing(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		inBubble(t, engine.Settings{FirstToken: 3500 * time.Millisecond}, func(t *testing.T, b *fixture) {
			b.engine.SetFaults(engine.Faults{Mute: true})
			var reports []context.Context
			generation := chat("r1", streamed, "")
			generation.OnSilence = func(ctx context.Context) { reports = append(reports, ctx) }
			stream, err := b.client.Generate(t.Context(), generation)
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			if _, err := drain(stream); !errors.Is(err, io.EOF) {
				t.Errorf("the response ended with %v", err)
			}
			if len(reports) != 3 || context.Cause(reports[2]) == nil {
				t.Errorf("silence was reported %d times", len(reports))
			}
		})
	}
}

// TestSilenceEndsWithTheNextPiece checks that the context of a report ends when something arrives.
func TestSilenceEndsWithTheNextPiece(t *testing.T) {
	inBubble(t, engine.Settings{FirstToken: 3500 * time.Millisecond}, func(t *testing.T, b *fixture) {
		b.engine.SetFaults(engine.Faults{Mute: true})
		begun := time.Now()
		var length time.Duration
		generation := chat("r1", true, "")
		generation.OnSilence = func(ctx context.Context) {
			<-ctx.Done()
			length = time.Since(begun)
		}
		stream, err := b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		if _, err := drain(stream); !errors.Is(err, io.EOF) || length != 3500*time.Millisecond {
			t.Errorf("the response ended with %v, the silence after %v", err, length)
		}
	})
}

func TestSilentStreamResumesOnNewConnection(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: 100 * time.Millisecond}, func(t *testing.T, b *fixture) {
		generation := chat("r1", true, "hello")
		silent := make(chan struct{}, 1)
		generation.OnSilence = func(context.Context) { silent <- struct{}{} }
		old, err := b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if _, err := old.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		b.stallConnections()
		rest := make(chan int, 1)
		go func() {
			pieces, _ := drain(old)
			rest <- pieces
		}()
		<-silent
		generation.OnSilence = nil
		if _, err := b.client.Probe(t.Context()); err != nil {
			t.Fatalf("probe over a new connection: %v", err)
		}
		generation.ResumeAfter = 3
		stream, err := b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		_ = old.Close()
		if pieces := <-rest; pieces != 0 {
			t.Errorf("%d pieces over a stalled connection", pieces)
		}
		if pieces, err := drain(stream); pieces != 7 || !errors.Is(err, io.EOF) {
			t.Errorf("resumed stream returned %d pieces and %v", pieces, err)
		}
		if runs := b.engine.Counts().Executions["r1"]; runs != 1 {
			t.Errorf("request ran %d times", runs)
		}
	})
}

// TestStalledConnectionsFailOnlyOneCall checks that the first call that fails on a stalled connection closes the
// other idle ones, so that later calls do not run into them.
func TestStalledConnectionsFailOnlyOneCall(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *fixture) {
		streams := make([]upstream.Stream, 0, 3)
		for _, id := range []string{"r1", "r2", "r3"} {
			stream, err := b.client.Generate(t.Context(), chat(id, true, ""))
			if err != nil {
				t.Fatal(err)
			}
			streams = append(streams, stream)
		}
		for _, stream := range streams {
			_, _ = drain(stream)
			_ = stream.Close()
		}
		b.stallConnections()
		if _, err := b.client.State(t.Context()); !errors.Is(err, upstream.ErrNoResponse) {
			t.Errorf("state over a stalled connection: %v", err)
		}
		if _, err := b.client.State(t.Context()); err != nil {
			t.Errorf("state after a stalled connection was detected: %v", err)
		}
	})
}

func TestCancelReachesEngine(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: time.Minute}, func(t *testing.T, b *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := b.client.Generate(ctx, chat("r1", true, "hello"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Next(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
		if _, err := stream.Next(t.Context()); !errors.Is(err, context.Canceled) {
			t.Errorf("got %v after cancelling", err)
		}
		_ = stream.Close()
		time.Sleep(10 * time.Second)
		if counts := b.engine.Counts(); counts.Cancelled != 1 {
			t.Errorf("%d generations were cancelled", counts.Cancelled)
		}
	})
}

func TestUnreachableAddressGivesErrNotSent(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *fixture) {
		b.client.Close()
		b.listener.Refuse(true)
		if _, err := b.client.Generate(t.Context(), chat("r1", true, "")); !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("generation returned %v", err)
		}
		if _, err := b.client.Send(t.Context(), upstream.Order{ID: "o"}); !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("order returned %v", err)
		}
	})
}
