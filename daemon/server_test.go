package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestRequestOnAKeptConnectionIsAnsweredInTheNotice guards against callers whose request on a kept connection got no answer, since the
// daemon closed all connections between two requests when a planned stop began.
func TestRequestOnAKeptConnectionIsAnsweredInTheNotice(t *testing.T) {
	answer := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") })
	opened, err := (&Daemon{deps: Deps{Listen: net.Listen}}).listen("127.0.0.1:0", answer)
	if err != nil {
		t.Fatal(err)
	}
	opened.track()
	go func() { _ = opened.serve() }()
	defer func() { _ = opened.http.Close() }()
	conn, err := net.Dial("tcp", opened.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, stopping := range []bool{false, true} {
		if stopping {
			opened.disableKeepAlives()
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("stopping %t: %v", stopping, err)
		}
		content, err := io.ReadAll(response.Body)
		if err != nil || string(content) != "answer" || response.Close != stopping {
			t.Errorf("stopping %t: got %q, %v, close %t", stopping, content, err, response.Close)
		}
		_ = response.Body.Close()
	}
}
