package upstream_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
	"github.com/bronzestall/bronzestall/internal/standin/network"
	"github.com/bronzestall/bronzestall/upstream"
)

func TestStreamMovesToAnotherEngineWithItsKVCache(t *testing.T) {
	inBubble(t, engine.Settings{TokenEvery: 100 * time.Millisecond}, func(t *testing.T, b *fixture) {
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
			t.Errorf("%d pieces from the previous engine, then %v", pieces, err)
		}
		if runs := other.Counts().Executions["r1"]; runs != 0 {
			t.Errorf("request started %d times on the other engine", runs)
		}
	})
}

func TestCacheEventsMayBeDelayedAndLost(t *testing.T) {
	inBubble(t, engine.Settings{}, func(t *testing.T, b *fixture) {
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
