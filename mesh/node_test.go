package mesh

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fixedStore is a store that returns the same result for every call.
type fixedStore struct{ failure error }

func (store fixedStore) Read(_ context.Context, key datastore.Key) (datastore.Row, error) {
	return datastore.Row{Key: key, Version: 3, Value: []byte("v")}, store.failure
}

func (store fixedStore) Commit(_ context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	return make([]datastore.Version, len(writes)), store.failure
}

// testDaemon is a node behind an HTTP server.
type testDaemon struct {
	*Node
	address string
	report  Report
	// inFlight holds the requests in flight.
	inFlight InFlightCounts
	// tracker holds the requests that crashed replicas.
	tracker *quarantine.Tracker
	// notices holds the leaving replicas.
	notices *notice.Registry
	// limits holds the limits of replicas.
	limits *ratelimit.Table
	// asker and asks are the last questions for tokens, and grants the response to them.
	asker  string
	asks   []ratelimit.Ask
	grants []ratelimit.Grant
	// quotaAsks are the last questions for amounts of quotas, and quotaGrants the response to them.
	quotaAsks   []quota.Ask
	quotaGrants []quota.Grant
	// proofs is what it answers to questions for proofs.
	proofs []Proof
	// protocols holds the versions that other daemons told.
	protocols *protocol.Registry
}

func newTestDaemon(t *testing.T, name string, state State, failure error, seeds ...string) *testDaemon {
	daemon := &testDaemon{tracker: quarantine.NewTracker(2), notices: notice.New(), limits: ratelimit.NewTable(), protocols: protocol.NewRegistry(clock.RealClock{})}
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	daemon.address = strings.TrimPrefix(server.URL, "http://")
	daemon.Node = New(Settings{Self: Member{Name: name, Address: daemon.address}, Seeds: seeds, Client: http.DefaultClient}, Deps{
		State:    func() State { return state },
		Proofs:   func(context.Context, []topology.Incarnation) []Proof { return daemon.proofs },
		InFlight: func() InFlightCounts { return daemon.inFlight },
		Suspects: func() []quarantine.Suspect {
			return daemon.tracker.Share(8, time.Now())
		},
		ReceiveSuspects: func(suspects []quarantine.Suspect) { daemon.tracker.Import(suspects, time.Now()) },
		Leaving:         func() []topology.Incarnation { return daemon.notices.LatestLeaving(8) },
		ReceiveLeaving:  func(incarnations []topology.Incarnation) { daemon.notices.MarkLeaving(incarnations[0], time.Now()) },
		Limits: func(all bool) []ratelimit.Entry {
			if all {
				return daemon.limits.All()
			}
			return daemon.limits.Share(8, time.Now())
		},
		ReceiveLimits: func(entries []ratelimit.Entry) {
			for _, entry := range entries {
				daemon.limits.Merge(entry, time.Now())
			}
		},
		Grant: func(asker string, asks []ratelimit.Ask) []ratelimit.Grant {
			daemon.asker = asker
			daemon.asks = asks
			return daemon.grants
		},
		GrantQuotas: func(asker string, asks []quota.Ask) []quota.Grant {
			daemon.asker = asker
			daemon.quotaAsks = asks
			return daemon.quotaGrants
		},
		Sync: func(_ context.Context, report Report) (directory.Announcement, error) {
			daemon.report = report
			return testAnnouncement, nil
		},
		Update: func(_ context.Context, request UpdateRequest) UpdateResponse {
			return UpdateResponse{Configuration: []byte("c"), RosterVersion: request.RosterVersion + 1, Rows: []Row{{Key: "k", Version: 2, Value: []byte("v")}}}
		},
		Protocols: daemon.protocols,
		Store:     fixedStore{failure},
	}, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
	mux.Handle("/", daemon.Handler())
	return daemon
}

var testInFlight = demand.InFlight{Running: 5, Waiting: [demand.Priorities]int{0, 2, 0, 1}}

var testAnnouncement = directory.Announcement{
	Fence: 4, Revision: 9,
	Placements: []directory.Placement{
		{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Revision: 2, Holding: topology.Holding{Orders: 3, Models: []topology.LoadedModel{{Model: "m", Version: 1, Adapters: []string{"a1"}}}}},
		{Incarnation: topology.Incarnation{ID: "f", Started: 1}, Revision: 9, Holding: topology.Holding{Orders: 1}, Loading: directory.Loading{Model: "m", FromStore: true}},
	},
	InFlight: map[topology.Incarnation]demand.InFlight{{ID: "e", Started: 1}: testInFlight},
}

func TestDaemonsDiscoverEachOtherThroughSeed(t *testing.T) {
	key := demand.ReplicaKey{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Key: demand.Key{Service: "s", Model: "m"}}
	seed := newTestDaemon(t, "a", State{Fence: 7, ConfigurationVersion: 3, StoreAge: time.Second}, nil)
	seed.inFlight = InFlightCounts{key: testInFlight}
	second := newTestDaemon(t, "b", State{}, nil, seed.address)
	third := newTestDaemon(t, "c", State{}, nil, seed.address)
	for _, node := range []*testDaemon{second, third, third, second} {
		for address := range node.members.peers {
			node.greet(t.Context(), address)
		}
	}
	if live := second.Live(); len(live) != 2 || live[0].Name != "a" || live[1].Name != "c" {
		t.Errorf("b knows %+v", live)
	}
	holder, ok := third.LeaseHolder()
	if !ok || holder.Name != "a" || holder.ConfigurationVersion != 3 || third.InFlightByReplica()[key.Incarnation] != testInFlight {
		t.Errorf("c has the lease holder %+v", holder)
	}
}

// TestGreetingCarriesSuspectsAndLeavingReplicas checks what a daemon learns from one greeting: requests that
// crashed replicas, and leaving replicas.
func TestGreetingCarriesSuspectsAndLeavingReplicas(t *testing.T) {
	incarnation := topology.Incarnation{ID: "r", Started: 3}
	sender := newTestDaemon(t, "a", State{}, nil)
	sender.notices.MarkLeaving(incarnation, time.Now())
	for _, boot := range []string{"1", "2"} {
		sender.tracker.ConnectionLost(quarantine.Causes{Request: 7}, quarantine.Crash{Upstream: "r", BootID: boot, Sequence: 1}, time.Now())
	}
	receiver := newTestDaemon(t, "b", State{}, nil, sender.address)
	receiver.greet(t.Context(), sender.address)
	if _, refused := receiver.tracker.Refused(7, time.Now()); !refused || !receiver.notices.Leaving(incarnation) {
		t.Errorf("refused = %t, leaving = %t, want both", refused, receiver.notices.Leaving(incarnation))
	}
	if suspect, _ := receiver.tracker.Suspect(7, time.Now()); len(suspect.Crashes) != 2 || suspect.Crashes[0].Sequence != 1 {
		t.Errorf("received %+v", suspect)
	}
}

func TestSyncCarriesDemandAndChanges(t *testing.T) {
	holder := newTestDaemon(t, "a", State{}, nil)
	other := newTestDaemon(t, "b", State{}, nil)
	now := time.Now()
	want := demand.KeyDemand{
		Key:     demand.Key{Service: "s", Model: "m", Adapter: "a1"},
		Waiting: 2, Oldest: now.Add(-time.Second), Rate: 1.5, Tokens: 800, Target: time.Second, LastArrival: now,
	}
	got, err := other.Sync(t.Context(), holder.address, Report{Name: "b", Demand: []demand.KeyDemand{want}, Fence: 4, Revision: 5})
	if err != nil || got.Since != 5 || len(got.Placements) != 1 || got.Placements[0].ID != "f" || got.Placements[0].Loading.Model != "m" || !got.Placements[0].Loading.FromStore || got.InFlight[topology.Incarnation{ID: "e", Started: 1}] != testInFlight {
		t.Errorf("announcement %+v, error %v", got, err)
	}
	received := holder.report.Demand[0]
	if received.Key != want.Key || received.Waiting != 2 || received.Rate != 1.5 || received.Tokens != 800 || received.Target != time.Second ||
		received.Oldest.Sub(want.Oldest).Abs() > 500*time.Millisecond {
		t.Errorf("received %+v", received)
	}
	full, err := other.Sync(t.Context(), holder.address, Report{Name: "b"})
	if err != nil || full.Since != 0 || !reflect.DeepEqual(full.Placements[0].Holding, testAnnouncement.Placements[0].Holding) {
		t.Errorf("announcement %+v, error %v", full, err)
	}
}

func TestFetchUpdateReturnsNewerState(t *testing.T) {
	server := newTestDaemon(t, "a", State{}, nil)
	response, err := newTestDaemon(t, "b", State{}, nil).FetchUpdate(t.Context(), server.address, UpdateRequest{RosterVersion: 4})
	if err != nil || response.RosterVersion != 5 || string(response.Configuration) != "c" || len(response.Rows) != 1 || response.Rows[0].Version != 2 {
		t.Errorf("response %+v, error %v", response, err)
	}
}

func TestStoreProxyPreservesErrors(t *testing.T) {
	for _, failure := range append([]error{nil}, storeErrors...) {
		server := newTestDaemon(t, "a", State{}, failure)
		tables := newTestDaemon(t, "b", State{}, nil).StoreProxy(func() (string, bool) { return server.address, true })
		if _, err := tables.Commit(t.Context(), []datastore.Write{{}}); !errors.Is(err, failure) {
			t.Errorf("error %v is returned as %v", failure, err)
		}
		if _, err := tables.Read(t.Context(), datastore.Key{Table: "t", Row: "r"}); !errors.Is(err, failure) {
			t.Errorf("error %v is returned as %v", failure, err)
		}
	}
	noPeer := newTestDaemon(t, "b", State{}, nil).StoreProxy(func() (string, bool) { return "", false })
	if _, err := noPeer.Commit(t.Context(), nil); !errors.Is(err, datastore.ErrUnavailable) {
		t.Errorf("commit without another daemon returns %v", err)
	}
	unreachable := newTestDaemon(t, "b", State{}, nil).StoreProxy(func() (string, bool) { return "127.0.0.1:1", true })
	if _, err := unreachable.Commit(t.Context(), []datastore.Write{{}}); !errors.Is(err, datastore.ErrUnclear) {
		t.Errorf("commit through an unreachable daemon returns %v", err)
	}
}
