package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/bronzestall/bronzestall/topology"
)

// The load of TestResponsesResetDuringUpload: requests at the same time, requests of each, and the length of their bodies, which
// no pair of socket buffers holds.
const (
	uploaders   = 8
	uploads     = 20
	uploadBytes = 8 << 20
)

// TestResponsesResetDuringUpload guards against issue 71: a replica answers a long upload at once, with neither a length nor
// chunks, sends a part of its body and resets the connection while the upload is written. Clients got that part as whole.
func TestResponsesResetDuringUpload(t *testing.T) {
	for name, kind := range map[string]topology.Kind{"call": topology.NonIdempotent, "stream": topology.Streaming} {
		t.Run(name, func(t *testing.T) {
			daemon := newServingDaemon(kind, resetEarly(t))
			body := make([]byte, uploadBytes)
			var group sync.WaitGroup
			for uploader := range uploaders {
				group.Go(func() {
					for number := range uploads {
						// Paths differ, so that the requests do not count as one that crashes replicas.
						request := newRequest(daemon, fmt.Sprintf("/s/%d/%d", uploader, number), body)
						sink := &recordingSink{}
						if _, failure := daemon.relay.Serve(t.Context(), request, sink); failure == nil {
							t.Errorf("%q passed for a whole response", sink.body.String())
							return
						}
					}
				})
			}
			group.Wait()
		})
	}
}

// resetEarly answers each request with a part of a response before its body is read, and resets the connection.
func resetEarly(t *testing.T) string {
	return listen(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBronzestall-Request-Id: 9c\r\nBronzestall-Response-Signature: s\r\n\r\nid: 1\ndata: x\n\n")
		_ = c.SetLinger(0)
	})
}
