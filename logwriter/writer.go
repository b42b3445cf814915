// Package logwriter writes log lines without blocking the goroutines that log.
//
// Lines are queued in a bounded buffer and written in batches by one goroutine. When the output blocks and the buffer
// is full, lines are dropped and counted.
package logwriter

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/boundedqueue"
)

const (
	// capacity is the maximum number of queued lines.
	capacity = 4096
	// batchBytes is the size above which a batch is written without waiting for more lines.
	batchBytes = 32 << 10
	// batchTime is how long a line waits for further lines of its batch.
	batchTime = 50 * time.Millisecond
)

// Writer is an asynchronous io.Writer of log lines. It is safe for concurrent use. Use New.
type Writer struct {
	out     io.Writer
	lines   *boundedqueue.Queue[[]byte]
	dropped atomic.Int64
}

// New returns a writer that writes to out. Lines are written only while Run is running.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: boundedqueue.New[[]byte](capacity)}
}

// Write queues one line. It never blocks or fails; if the buffer is full, the line is dropped.
func (writer *Writer) Write(line []byte) (int, error) {
	if !writer.lines.TryPut(bytes.Clone(line)) {
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (writer *Writer) Dropped() int64 {
	return writer.dropped.Swap(0)
}

// Run writes lines until the context ends, then writes the lines that are still queued.
func (writer *Writer) Run(ctx context.Context) error {
	for {
		line, err := writer.lines.Take(ctx)
		if err != nil {
			writer.drain()
			return err
		}
		writer.collect(ctx, line)
	}
}

// collect waits up to batchTime for further lines and writes them as one batch.
func (writer *Writer) collect(ctx context.Context, line []byte) {
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	batch := line
	for len(batch) < batchBytes {
		select {
		case next := <-writer.lines.Items():
			batch = append(batch, next...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	writer.write(batch)
}

// drain writes the queued lines, at most capacity lines.
func (writer *Writer) drain() {
	var batch []byte
	for range capacity {
		if writer.lines.Len() == 0 {
			break
		}
		batch = append(batch, <-writer.lines.Items()...)
	}
	writer.write(batch)
}

// write writes a batch unless it is empty.
func (writer *Writer) write(batch []byte) {
	if len(batch) > 0 {
		// A failure of the log output cannot be reported anywhere.
		_, _ = writer.out.Write(batch)
	}
}
