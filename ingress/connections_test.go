package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerTime is the time that the second of two requests takes in a test.
const answerTime = 200 * time.Millisecond

// serveTracked starts a server whose connections are tracked and returns a connection to it.
func serveTracked(t *testing.T, handler http.HandlerFunc) (net.Conn, *Connections) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := NewConnections()
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
