package inbound

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestResponseThatIsNotReadEnds guards against part 6 of docs/HARD-LOAD.md: a client that reads nothing kept its response for good.
func TestResponseThatIsNotReadEnds(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	connections := New()
	connections.BoundWrites(50 * time.Millisecond)
	tracked := &trackedConn{Conn: server, connections: connections}
	if n, err := tracked.Write([]byte("answer")); !errors.Is(err, os.ErrDeadlineExceeded) || n != 0 || connections.Unread() != 1 {
		t.Errorf("%d bytes are written, %v, %d unread; want a failure", n, err, connections.Unread())
	}
}

// TestResponseThatIsReadIsWhole covers writes that are longer than one step.
func TestResponseThatIsReadIsWhole(t *testing.T) {
	client, server := net.Pipe()
	connections := New()
	connections.BoundWrites(time.Hour)
	tracked := &trackedConn{Conn: server, connections: connections}
	const length = 2*writeStep + 1
	go func() {
		_, _ = tracked.Write(make([]byte, length))
		_ = tracked.Conn.Close()
	}()
	read := 0
	for into := make([]byte, 4<<10); ; {
		n, err := client.Read(into)
		if read += n; err != nil {
			break
		}
	}
	if read != length || connections.Unread() != 0 {
		t.Errorf("%d bytes are read, want %d", read, length)
	}
}
