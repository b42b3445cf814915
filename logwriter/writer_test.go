package logwriter

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct{ released chan struct{} }

func (output *blockedOutput) Write(batch []byte) (int, error) {
	<-output.released
	return len(batch), nil
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedOutput{released: make(chan struct{})}
		writer := New(output)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = writer.Run(ctx)
		}()
		_, _ = writer.Write([]byte("first\n"))
		time.Sleep(2 * batchTime)
		// The goroutine of the writer is blocked in the output now.
		synctest.Wait()
		const lines = 3 * capacity
		for range lines {
			if _, err := writer.Write([]byte(strings.Repeat("x", 100) + "\n")); err != nil {
				t.Fatal(err)
			}
		}
		if dropped := writer.Dropped(); dropped != lines-capacity {
			t.Errorf("dropped %d of %d lines, want all but %d", dropped, lines, capacity)
		}
		if writer.Dropped() != 0 {
			t.Error("dropped lines were counted twice")
		}
		close(output.released)
		cancel()
		<-done
	})
}

func TestLinesAreWrittenInOrderAndComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		writer := New(&output)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = writer.Write([]byte(line))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = writer.Run(ctx)
		if output.String() != "a\nb\nc\n" {
			t.Errorf("wrote %q", output.String())
		}
	})
}

// sizeRecorder is an output that records the size of the largest write.
type sizeRecorder struct{ largest int }

func (output *sizeRecorder) Write(batch []byte) (int, error) {
	output.largest = max(output.largest, len(batch))
	return len(batch), nil
}

// TestBatchesAreBounded covers a daemon that logs faster than batches are written.
func TestBatchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &sizeRecorder{}
		writer := New(output)
		for range capacity {
			_, _ = writer.Write([]byte(strings.Repeat("x", 100) + "\n"))
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = writer.Run(ctx)
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
		if output.largest > batchBytes+101 {
			t.Errorf("wrote %d bytes at once", output.largest)
		}
	})
}
