package front

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/protocol"
)

// TestProtocolMetrics checks that operators see how many daemons have another build during an upgrade.
func TestProtocolMetrics(t *testing.T) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	var live []mesh.Peer
	for name, told := range map[string]int64{"b": 0, "c": int64(protocol.Current), "d": int64(protocol.Current), "e": 7, "f": -1} {
		daemon.protocols.Observe(name, told)
		live = append(live, mesh.Peer{Heartbeat: mesh.Heartbeat{Member: mesh.Member{Name: name}}})
	}
	daemon.updateProtocolMetrics(live)
	response := httptest.NewRecorder()
	daemon.meter.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	text := response.Body.String()
	for _, want := range []string{
		`bronzestall_daemons_by_protocol{kind="Same"} 2`, `bronzestall_daemons_by_protocol{kind="Older"} 2`,
		`bronzestall_daemons_by_protocol{kind="Newer"} 1`, `bronzestall_build{subject="`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
