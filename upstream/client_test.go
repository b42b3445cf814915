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

// bench is one stand-in engine with a client over connections in memory.
type bench struct {
	engine   *engine.Server
	listener *network.Listener
	client   *upstream.Client
}

// inBubble runs the test in a bubble of testing/synctest with an engine that has the model m.
func inBubble(t *testing.T, settings engine.Settings, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings.Name = "e1"
		b := &bench{engine: engine.New(settings, clock.RealClock{}), listener: network.NewPipe()}
		server := &http.Server{Handler: b.engine}
		go func() { _ = server.Serve(b.listener) }()
		b.client = upstream.NewClient(upstream.ClientSettings{Name: "e1", Address: "e1", Dial: b.listener.Dial}, clock.RealClock{})
		load := upstream.Order{ID: "load", Verb: upstream.Load, Model: "m", Version: "1", Memory: 1 << 30, Fence: 1}
		if verdict, err := b.client.Send(t.Context(), load); err != nil || verdict != upstream.Accepted {
			t.Fatalf("load gave %s, %v", verdict, err)
		}
		time.Sleep(time.Second)
		test(t, b)
		b.client.Close()
		b.engine.Close()
		_ = server.Close()
	})
}

// silence makes the open connections silent once the engine reads from all of them.
func (b *bench) silence() {
	synctest.Wait()
	b.listener.StallConnections()
}

func chat(id string, stream bool, words string) upstream.Generation {
	body := `{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"` + words + `"}]}`
	if stream {
		body = strings.Replace(body, `{`, `{"stream":true,`, 1)
	}
	return upstream.Generation{
		Request: request.Request{
			ID: id, Form: request.Chat, Target: catalogue.Target{Model: "m"}, Stream: stream, Body: []byte(body),
		},
		Version: "1",
		Attempt: 1,
	}
}

// drain returns the number of pieces and the error at the end.
func drain(stream upstream.Stream) (int, error) {
	for pieces := 0; ; pieces++ {
		if _, err := stream.Next(context.Background()); err != nil {
			return pieces, err
		}
	}
}

func TestAnswersAreWhole(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		inBubble(t, engine.Settings{FirstToken: 3 * time.Second}, func(t *testing.T, b *bench) {
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

func TestFaultyAnswersAreRecognised(t *testing.T) {
	cases := []struct {
		name   string
		stream bool
		words  string
		faults engine.Faults
		want   error
	}{
		{"crossed head", true, "", engine.Faults{CrossedHeads: 1}, upstream.ErrForeign},
		{"crossed head of a whole answer", false, "", engine.Faults{CrossedHeads: 1}, upstream.ErrForeign},
		{"crossed pieces", true, "", engine.Faults{CrossedPieces: 1}, upstream.ErrForeign},
		{"stream without end marker", true, "", engine.Faults{Truncated: 1}, upstream.ErrTruncated},
		{"body shorter than stated", false, "", engine.Faults{Truncated: 1}, upstream.ErrTruncated},
		{"crash", true, "CRASH-THE-ENGINE", engine.Faults{}, upstream.ErrTruncated},
		{"crash before the head", false, "CRASH-THE-ENGINE", engine.Faults{}, upstream.ErrNoAnswer},
		{"mute engine", true, "", engine.Faults{Mute: true}, upstream.ErrSilent},
		{"mute engine before the head", false, "", engine.Faults{Mute: true}, upstream.ErrSilent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, engine.Settings{FirstToken: 3 * time.Second}, func(t *testing.T, b *bench) {
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

func TestRefusalsAreProof(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *bench) {
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

func TestSilentConnectionIsResumedOnAFreshOne(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: 100 * time.Millisecond}, func(t *testing.T, b *bench) {
		generation := chat("r1", true, "hello")
		stream, err := b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if _, err := stream.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		b.silence()
		if pieces, err := drain(stream); !errors.Is(err, upstream.ErrSilent) || pieces != 0 {
			t.Fatalf("%d pieces over a silent connection, then %v", pieces, err)
		}
		_ = stream.Close()
		if _, err := b.client.Probe(t.Context()); err != nil {
			t.Fatalf("probe over a fresh connection: %v", err)
		}
		generation.ResumeAfter = 3
		stream, err = b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		if pieces, err := drain(stream); pieces != 7 || !errors.Is(err, io.EOF) {
			t.Errorf("resumed stream gave %d pieces and %v", pieces, err)
		}
		if runs := b.engine.Counts().Executions["r1"]; runs != 1 {
			t.Errorf("request ran %d times", runs)
		}
	})
}

func TestOneSilentConnectionCostsOnlyOneCall(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *bench) {
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
		b.silence()
		if _, err := b.client.State(t.Context()); !errors.Is(err, upstream.ErrNoAnswer) {
			t.Errorf("state over a silent connection: %v", err)
		}
		if _, err := b.client.State(t.Context()); err != nil {
			t.Errorf("state after a silent connection was found: %v", err)
		}
	})
}

func TestCancelPassesUpstream(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: time.Minute}, func(t *testing.T, b *bench) {
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

func TestStreamMovesToAnotherEngineByItsCache(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: 100 * time.Millisecond}, func(t *testing.T, b *bench) {
		other := engine.New(engine.Settings{Name: "e2"}, clock.RealClock{})
		defer other.Close()
		other.AddReplica("m@1")
		listener := network.NewPipe()
		server := &http.Server{Handler: other}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		client := upstream.NewClient(upstream.ClientSettings{Address: "e2", Dial: listener.Dial}, clock.RealClock{})
		defer client.Close()

		generation := chat("r1", true, "hello")
		first, err := b.client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		defer first.Close()
		piece, err := first.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		blob, err := b.client.Export(t.Context(), "r1")
		if err != nil {
			t.Fatal(err)
		}
		if err := client.Import(t.Context(), "r1", blob); err != nil {
			t.Fatal(err)
		}
		generation.ResumeAfter = piece.Index
		second, err := client.Generate(t.Context(), generation)
		if err != nil {
			t.Fatal(err)
		}
		defer second.Close()
		if pieces, err := drain(second); pieces != 9 || !errors.Is(err, io.EOF) {
			t.Errorf("%d pieces after the move, then %v", pieces, err)
		}
		if pieces, err := drain(first); pieces != 0 || !errors.Is(err, upstream.ErrTruncated) {
			t.Errorf("%d pieces from the engine that was left, then %v", pieces, err)
		}
		if runs := other.Counts().Executions["r1"]; runs != 0 {
			t.Errorf("request began %d times on the other engine", runs)
		}
	})
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *bench) {
		b.engine.SetFaults(engine.Faults{EventLagMilliseconds: 1000, EventGap: 2})
		for prefix := range uint64(3) {
			generation := chat("r"+string(rune('a'+prefix)), false, "hello")
			generation.Request.Prefix = prefix + 1
			stream, err := b.client.Generate(t.Context(), generation)
			if err != nil {
				t.Fatal(err)
			}
			_ = stream.Close()
		}
		time.Sleep(300 * time.Millisecond)
		_, early, err := b.client.CacheEvents(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		_, late, err := b.client.CacheEvents(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(early) >= len(late) || len(late) != 2 || late[1].Sequence != 3 || late[1].Prefix != "3" {
			t.Errorf("events are %v, then %v", early, late)
		}
	})
}

func TestDeadAddressIsNotSent(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *bench) {
		b.client.Close()
		b.listener.Refuse(true)
		if _, err := b.client.Generate(t.Context(), chat("r1", true, "")); !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("generation gave %v", err)
		}
		if _, err := b.client.Send(t.Context(), upstream.Order{ID: "o"}); !errors.Is(err, upstream.ErrNotSent) {
			t.Errorf("order gave %v", err)
		}
	})
}
