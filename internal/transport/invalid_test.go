package transport_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/responsehead"
	"github.com/bronzestall/bronzestall/internal/standin/network"
	"github.com/bronzestall/bronzestall/internal/transport"
)

// TestInvalidHeadsAreNotPassedOn covers heads that net/http accepts although they are none in the protocol (issue 71).
func TestInvalidHeadsAreNotPassedOn(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":                "HTTP/1.1 000 Trouble\r\nContent-Length: 3\r\n\r\n",
		"status 000, after interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble\r\nContent-Length: 3\r\n\r\n",
		"status 999":                "HTTP/1.1 999 Trouble\r\nContent-Length: 3\r\n\r\n",
		"blank before the colon":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\n",
		"blank before a name":       "HTTP/1.1 200 OK\r\nX: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
		"control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 3\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := network.NewPipe()
				go respond(listener, head+"yes")
				client := transport.New(transport.Settings{Dial: listener.Dial}, clock.RealClock{})
				defer client.Close()
				err := exchange(t.Context(), client, http.MethodPost, "/", []byte("body"))
				if !responsehead.IsInvalid(err) || isNotSent(err) {
					t.Errorf("got %v", err)
				}
				_ = listener.Close()
			})
		})
	}
}

// respond answers the first request of the first connection with the text.
func respond(listener net.Listener, text string) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	request := make([]byte, 4<<10)
	if _, err := c.Read(request); err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
}
