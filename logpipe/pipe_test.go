package logpipe

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
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
		_, _ = pipe.Write([]byte("first\n"))
		time.Sleep(2 * batchTime)
		// The goroutine of the pipe is blocked in the output now.
		synctest.Wait()
		const lines = 3 * capacity
		for range lines {
			if _, err := pipe.Write([]byte(strings.Repeat("x", 100) + "\n")); err != nil {
				t.Fatal(err)
			}
		}
		if dropped := pipe.Dropped(); dropped != lines-capacity {
			t.Errorf("dropped %d of %d lines, want all but %d", dropped, lines, capacity)
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

// sizes is an output that notes the sizes of what is written.
type sizes struct{ largest int }

func (output *sizes) Write(batch []byte) (int, error) {
	output.largest = max(output.largest, len(batch))
	return len(batch), nil
}

// TestBatchesAreBounded covers a daemon that logs faster than lines are collected.
func TestBatchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &sizes{}
		pipe := New(output)
		for range capacity {
			_, _ = pipe.Write([]byte(strings.Repeat("x", 100) + "\n"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = pipe.Run(ctx)
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
		if output.largest > batchBytes+101 {
			t.Errorf("wrote %d bytes at once", output.largest)
		}
	})
}
