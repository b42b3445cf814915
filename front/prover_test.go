package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestIdleReplicaIsProbed guards against issue 47: nothing was known of a replica without requests, and a silent stream was ended for
// one that was as silent.
func TestIdleReplicaIsProbed(t *testing.T) {
	sound := httptest.NewServer(http.NotFoundHandler())
	defer sound.Close()
	// The listener accepts connections, and nothing is sent on them.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	replicas := takeReplicas(daemon, map[string]string{"silent": silent.Addr().String(), "sound": sound.Listener.Addr().String()})
	began := daemon.clock.Now()
	for id, replica := range replicas {
		if (prover{daemon}).Responded(ctx, replica.Incarnation, began) {
			t.Errorf("replica %s has responded before it was probed", id)
		}
	}
	for !(prover{daemon}).Responded(ctx, replicas["sound"].Incarnation, began) {
		if ctx.Err() != nil {
			t.Fatal("the probe of a sound replica showed no response")
		}
		daemon.sleep(ctx, time.Millisecond)
	}
	if (prover{daemon}).Responded(ctx, replicas["silent"].Incarnation, began) {
		t.Error("a silent replica has responded")
	}
	if (prover{daemon}).Responded(ctx, topology.Incarnation{ID: "unknown"}, began) {
		t.Error("an unknown replica has responded")
	}
	if (prover{daemon}).Responded(ctx, replicas["sound"].Incarnation, daemon.clock.Now().Add(time.Second)) {
		t.Error("a replica has responded since a later time")
	}
}
