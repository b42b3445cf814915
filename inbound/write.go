package inbound

import (
	"errors"
	"os"
	"time"
)

const (
	// writeStep is the number of bytes that a client must read within the time of BoundWrites.
	writeStep = 64 << 10
	// deadlineInterval is the least time between two changes of the write deadline of a connection, whose bound is shorter by that.
	deadlineInterval = time.Second
)

// BoundWrites makes writes of responses fail, and so their connections end, if the client does not read writeStep bytes, or all of a shorter
// write, within about the time. The server must not serve yet, and must have no WriteTimeout.
func (connections *Connections) BoundWrites(progress time.Duration) {
	connections.writeProgress = progress
}

// Unread returns how many responses ended since their clients did not read them.
func (connections *Connections) Unread() int64 {
	return connections.unread.Load()
}

// Write writes all bytes, each writeStep of them within the bound.
func (tracked *trackedConn) Write(from []byte) (int, error) {
	if tracked.connections.writeProgress <= 0 {
		return tracked.Conn.Write(from)
	}
	written := 0
	for {
		step := from[written:min(written+writeStep, len(from))]
		tracked.extendDeadline()
		n, err := tracked.Conn.Write(step)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			tracked.connections.unread.Add(1)
		}
		if written += n; err != nil || written >= len(from) {
			return written, err
		}
	}
}

// extendDeadline sets the write deadline anew, unless that was done lately. Deadlines of connections are of the system's clock.
func (tracked *trackedConn) extendDeadline() {
	now := time.Now()
	if now.Sub(tracked.extended) < min(deadlineInterval, tracked.connections.writeProgress/2) {
		return
	}
	tracked.extended = now
	// A connection that takes no deadline is closed already.
	_ = tracked.Conn.SetWriteDeadline(now.Add(tracked.connections.writeProgress))
}
