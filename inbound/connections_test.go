package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// answerTime is the time that the second of two requests takes in a test.
	answerTime = 200 * time.Millisecond
	// closeTime is the longest time from a response to the end of its connection; the server closes both directions after 500 ms.
	closeTime = 250 * time.Millisecond
)

// serveTracked starts a server whose connections are tracked and returns a connection to it.
func serveTracked(t *testing.T, handler http.HandlerFunc) (net.Conn, *Connections) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := New()
	server := &http.Server{Handler: handler}
	listener := connections.Track(server, inner)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn, connections
}

// TestStopAnswersTheSecondOfTwoRequests guards against issue 47: of two requests that were read at once, the second got neither an
// answer nor a refusal when unused connections were closed, since no byte was read after the response to the first.
func TestStopAnswersTheSecondOfTwoRequests(t *testing.T) {
	began := make(chan struct{}, 2)
	conn, connections := serveTracked(t, func(writer http.ResponseWriter, incoming *http.Request) {
		began <- struct{}{}
		if incoming.URL.Path == "/second" {
			select {
			case <-incoming.Context().Done():
				t.Error("the second request was cancelled")
			case <-time.After(answerTime):
			}
		}
		_, _ = io.WriteString(writer, "answer")
	})
	if _, err := io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h.example\r\n\r\nGET /second HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	<-began
	if open := connections.CloseUnused(); open != 1 {
		t.Errorf("%d open connections", open)
	}
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(response.Body)
		if err != nil || string(content) != "answer" {
			t.Errorf("got %q, %v", content, err)
		}
	}
	for connections.CloseUnused() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestConnectionsInsideOfOthersAreForgotten guards against closed connections that stayed tracked, since the server had seen only the
// connections of another listener around them, as with TLS.
func TestConnectionsInsideOfOthersAreForgotten(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := New()
	server := &http.Server{Handler: http.NotFoundHandler()}
	tracking := connections.Track(server, inner)
	go func() { _ = server.Serve(wrappingListener{tracking}) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 3 {
		response, err := http.Get("http://" + inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
	}
	limit := time.Now().Add(5 * time.Second)
	for connections.CloseUnused() > 0 {
		if time.Now().After(limit) {
			t.Fatalf("%d closed connections are tracked", connections.CloseUnused())
		}
		time.Sleep(time.Millisecond)
	}
}

// wrappingListener wraps each connection that it accepts.
type wrappingListener struct{ net.Listener }

func (listener wrappingListener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	return struct{ net.Conn }{inner}, err
}

// TestRefusedBodyEndsItsConnection guards against a connection that stayed open for half a second after the response to a request
// whose body was not read.
func TestRefusedBodyEndsItsConnection(t *testing.T) {
	conn, _ := serveTracked(t, func(writer http.ResponseWriter, incoming *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(writer, incoming.Body, 1))
		http.Error(writer, "too large", http.StatusRequestEntityTooLarge)
	})
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10000000\r\n\r\nxx"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	answered := time.Now()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Error(err)
	}
	if took := time.Since(answered); took > closeTime {
		t.Errorf("the connection ended %v after the response", took)
	}
}
