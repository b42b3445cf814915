package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"k8s.io/utils/clock"
)

// unframed is a response whose body ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"

// brokenConn is a connection whose failure is reported to the writer of a body, and whose reader then finds an end, as on Linux.
type brokenConn struct {
	net.Conn
	response *strings.Reader
	// failure is what the second write fails with, which closes failed.
	failure error
	failed  chan struct{}
	writes  int
}

func (c *brokenConn) Write(data []byte) (int, error) {
	c.writes++
	if c.writes == 1 {
		return len(data), nil
	}
	defer close(c.failed)
	return 0, c.failure
}

func (c *brokenConn) Read(into []byte) (int, error) {
	if c.response.Len() == 0 {
		<-c.failed
	}
	return c.response.Read(into)
}

func (c *brokenConn) SetWriteDeadline(time.Time) error { return nil }
func (c *brokenConn) Close() error                     { return nil }

// postLarge sends a call with the body and returns the body of the response.
func postLarge(pool *Pool, address string, body []byte) (string, error) {
	response, err := pool.Do(context.Background(), Call{
		Key: "k", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestFailuresThatTheWriterIsToldOf covers a response without a length of which only the writer of the request learns that it
// broke off.
func TestFailuresThatTheWriterIsToldOf(t *testing.T) {
	for failure, whole := range map[error]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false,
		syscall.EPIPE: true, os.ErrDeadlineExceeded: true,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			c := &brokenConn{response: strings.NewReader(unframed), failure: os.NewSyscallError("write", failure), failed: make(chan struct{})}
			pool := New(Settings{Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }}, clock.RealClock{})
			if got, err := postLarge(pool, "", make([]byte, largeBodyBytes+1)); (err == nil) != whole || got != "part" {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// uploadBytes is the length of a body that no pair of socket buffers holds.
const uploadBytes = 8 << 20

// TestEndDuringUpload guards against a sound response being lost: its upstream ends the connection in order, and does not read
// the rest of the body.
func TestEndDuringUpload(t *testing.T) {
	read := make(chan struct{})
	address := listen(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, unframed)
		_ = c.(*net.TCPConn).CloseWrite()
		<-read
		_ = c.Close()
	})
	got, err := postLarge(New(Settings{DialTimeout: time.Minute}, clock.RealClock{}), address, make([]byte, uploadBytes))
	close(read)
	if err != nil || got != "part" {
		t.Errorf("got %q, %v", got, err)
	}
}
