package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"
)

// slowListener accepts connections on which each read takes a while to return what it has read, as on a busy VM.
type slowListener struct {
	net.Listener
	delay time.Duration
	// read is sent to for each read that has bytes, before the delay.
	read chan struct{}
}

func (listener *slowListener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	return &slowConn{TCPConn: asTCP(inner), listener: listener}, err
}

func asTCP(conn net.Conn) *net.TCPConn {
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

func (conn *slowConn) Read(into []byte) (int, error) {
	n, err := conn.TCPConn.Read(into)
	if n > 0 {
		conn.listener.read <- struct{}{}
		time.Sleep(conn.listener.delay)
	}
	return n, err
}

// TestStopAnswersRequestsThatWereRead guards against issue 47: a daemon that stopped closed connections on which it had just read a
// request, which got neither an answer nor a refusal.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &slowListener{Listener: inner, delay: 100 * time.Millisecond, read: make(chan struct{}, 16)}
	answer := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") })
	opened := newServers(&http.Server{Handler: answer}, listener)
	var group errgroup.Group
	opened.serve(&group)

	used, unused := dialTwice(t, inner.Addr().String())
	roundTrip(t, used)
	<-listener.read
	roundTrip(t, unused)
	<-listener.read

	send(t, used)
	<-listener.read
	began := time.Now()
	opened.drain(5*time.Second, clock.RealClock{})
	opened.close()
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the stop took %v", took)
	}
	receive(t, used)
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the unused connection ended with %v", err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// dialTwice opens two connections.
func dialTwice(t *testing.T, address string) (first, second net.Conn) {
	t.Helper()
	var opened [2]net.Conn
	for index := range opened {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		opened[index] = conn
	}
	return opened[0], opened[1]
}

// roundTrip sends a request and receives its response.
func roundTrip(t *testing.T, conn net.Conn) {
	t.Helper()
	send(t, conn)
	receive(t, conn)
}

func send(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// receive receives a whole response.
func receive(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("a request that was read got no response: %v", err)
		return
	}
	defer response.Body.Close()
	if content, err := io.ReadAll(response.Body); err != nil || string(content) != "answer" {
		t.Errorf("got %q, %v", content, err)
	}
}
