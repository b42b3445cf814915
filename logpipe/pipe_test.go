package logpipe

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
)

// blocked is an output that nobody reads.
type blocked struct{ released chan struct{} }

func (output *blocked) Write(batch []byte) (int, error) {
	<-output.released
	return len(batch), nil
}

func TestOutputThatNobodyReadsSlowsNothingDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blocked{released: make(chan struct{})}
		pipe := New(output)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = pipe.Run(ctx)
		}()
		const lines = 3 * capacity
		for range lines {
			if _, err := pipe.Write([]byte(strings.Repeat("x", 100) + "\n")); err != nil {
				t.Fatal(err)
			}
		}
		if dropped := pipe.Dropped(); dropped < capacity || dropped > lines {
			t.Errorf("dropped %d of %d lines", dropped, lines)
		}
		if pipe.Dropped() != 0 {
			t.Error("counted lines twice")
		}
		close(output.released)
		cancel()
		<-done
	})
}

func TestLinesComeInOrderAndWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		pipe := New(&output)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = pipe.Write([]byte(line))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = pipe.Run(ctx)
		if output.String() != "a\nb\nc\n" {
			t.Errorf("wrote %q", output.String())
		}
	})
}
