package inbound

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// openConnection adds a connection from the address and returns those that are closed for it.
func openConnection(connections *Connections, address string) (added *trackedConn, closed []*trackedConn) {
	added = &trackedConn{connections: connections, address: address, unused: true}
	added.used.Store(connections.turns.Add(1))
	return added, connections.admit(added)
}

// TestConnectionsOfTheLargestAddressYield guards against part 6 of docs/HARD-LOAD.md: crowds that open connections and send next to
// nothing took the descriptors of a daemon.
func TestConnectionsOfTheLargestAddressYield(t *testing.T) {
	connections := New()
	connections.Bound(4)
	other, _ := openConnection(connections, "b")
	first, _ := openConnection(connections, "a")
	second, _ := openConnection(connections, "a")
	third, closed := openConnection(connections, "a")
	if len(closed) != 0 {
		t.Fatalf("%d connections are closed within the bound", len(closed))
	}
	first.requested(httptest.NewRequest(http.MethodGet, "/", nil))
	second.responded()
	fourth, closed := openConnection(connections, "b")
	if !slices.Equal(closed, []*trackedConn{third}) || connections.Open() != 4 || connections.Shed() != 1 {
		t.Errorf("%d are closed, %d open, %d shed; want the one of a that was used the longest ago", len(closed), connections.Open(), connections.Shed())
	}
	for _, next := range []*trackedConn{other, second, fourth} {
		next.requested(httptest.NewRequest(http.MethodGet, "/", nil))
	}
	if added, closed := openConnection(connections, "c"); !slices.Equal(closed, []*trackedConn{added}) {
		t.Errorf("%d are closed beside connections that all serve requests, want the new one", len(closed))
	}
}

// TestConnectionServesOnceItsBodyEnds covers when a request counts as read whole.
func TestConnectionServesOnceItsBodyEnds(t *testing.T) {
	tracked := &trackedConn{connections: New()}
	incoming := tracked.requested(httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader("body"))))
	if tracked.serving.Load() {
		t.Error("a request without its body counts as whole")
	}
	if _, err := io.ReadAll(incoming.Body); err != nil || !tracked.serving.Load() {
		t.Errorf("a request that was read whole does not count as such: %v", err)
	}
	if tracked.responded(); tracked.serving.Load() {
		t.Error("a request counts after its response")
	}
}
