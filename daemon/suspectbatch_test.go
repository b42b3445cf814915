package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/quarantine"
)

// countingClient passes the calls of one node to the handler of another and counts them.
type countingClient struct {
	handler http.Handler
	calls   atomic.Int64
}

func (client *countingClient) Do(request *http.Request) (*http.Response, error) {
	client.calls.Add(1)
	recorder := httptest.NewRecorder()
	client.handler.ServeHTTP(recorder, request)
	response := recorder.Result()
	response.Request = request
	return response, nil
}

// receivedSuspects records the suspects that the other daemon receives.
type receivedSuspects struct {
	lock     sync.Mutex
	received map[uint64]bool
}

func (received *receivedSuspects) Import(suspects []peer.Suspect) {
	received.lock.Lock()
	defer received.lock.Unlock()
	for _, suspect := range suspects {
		received.received[suspect.Fingerprint] = true
	}
}

func (*receivedSuspects) Reserve(string, string) bool { return true }

func (*receivedSuspects) Release(string, string) {}

// TestBatchOfSuspectsIsSentOnce publishes many suspects at once, as after the crash of an engine, and
// expects one call that carries all of them.
func TestBatchOfSuspectsIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const batch = 32
		ctx, stop := context.WithCancel(t.Context())
		received := &receivedSuspects{received: map[uint64]bool{}}
		random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
		other := peer.NewNode(peer.Settings{Name: "entry-2", PeerAddress: "two", Quarantine: received}, clock.RealClock{}, random())
		client := &countingClient{handler: other.Handler()}
		members := peer.MembersFunc(func() []peer.Member { return []peer.Member{{Name: "entry-2", Address: "two"}} })
		node := peer.NewNode(peer.Settings{Name: "entry-1", Client: client, Members: members}, clock.RealClock{}, random())
		ended := make(chan error)
		go func() { ended <- node.Run(ctx) }()
		time.Sleep(3 * time.Second)
		stop()
		<-ended
		suspects := &suspects{clock: clock.RealClock{}, node: node, name: "entry-1"}
		before := client.calls.Load()
		var marks sync.WaitGroup
		for fingerprint := range uint64(batch) {
			marks.Go(func() {
				suspects.Publish(t.Context(), []quarantine.Suspect{{Fingerprint: fingerprint + 1, Until: time.Now().Add(time.Minute)}})
			})
		}
		marks.Wait()
		if calls := client.calls.Load() - before; calls != 1 {
			t.Errorf("%d calls for one batch, want 1", calls)
		}
		if len(received.received) != batch {
			t.Errorf("%d suspects were received when Publish returned, want %d", len(received.received), batch)
		}
	})
}
