package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestPing covers daemons that respond, and those that do not.
func TestPing(t *testing.T) {
	older := httptest.NewServer(http.NotFoundHandler())
	defer older.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	asking := newTestDaemon(t, "a", State{}, nil)
	for name, c := range map[string]struct {
		address  string
		responds bool
	}{
		"a daemon":                     {newTestDaemon(t, "b", State{}, nil).address, true},
		"one of an older build":        {older.Listener.Addr().String(), true},
		"one that accepts connections": {silent.Addr().String(), false},
		"none":                         {"127.0.0.1:1", false},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		if err := asking.Ping(ctx, c.address); (err == nil) != c.responds {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}
