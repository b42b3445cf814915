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

// countingClient counts the calls of one node and answers each by the handler of another.
type countingClient struct {
	handler http.Handler
	calls   atomic.Int64
}

func (client *countingClient) Do(request *http.Request) (*http.Response, error) {
	client.calls.Add(1)
	recorder := httptest.NewRecorder()
	client.handler.ServeHTTP(recorder, request)
	answer := recorder.Result()
	answer.Request = request
	return answer, nil
}

// heardSuspects is the quarantine of the daemon that is told.
type heardSuspects struct {
	lock  sync.Mutex
	heard map[uint64]bool
}

func (heard *heardSuspects) Import(suspects []peer.Suspect) {
	heard.lock.Lock()
	defer heard.lock.Unlock()
	for _, suspect := range suspects {
		heard.heard[suspect.Fingerprint] = true
	}
}

func (*heardSuspects) Reserve(string, string) bool { return true }

func (*heardSuspects) Release(string, string) {}

// TestBatchOfSuspectsIsToldOnce marks a whole batch at once, as a crash does.
func TestBatchOfSuspectsIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const batch = 32
		ctx, stop := context.WithCancel(t.Context())
		heard := &heardSuspects{heard: map[uint64]bool{}}
		random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
		other := peer.NewNode(peer.Settings{Name: "entry-2", PeerAddress: "two", Quarantine: heard}, clock.RealClock{}, random())
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
		if len(heard.heard) != batch {
			t.Errorf("%d suspects were heard when Publish returned, want %d", len(heard.heard), batch)
		}
	})
}
