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
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// rows is a store of one answer.
type rows struct{ failure error }

func (rows rows) Read(_ context.Context, key datastore.Key) (datastore.Row, error) {
	return datastore.Row{Key: key, Version: 3, Value: []byte("v")}, rows.failure
}

func (rows rows) Commit(_ context.Context, writes []datastore.Write) ([]uint64, error) {
	return make([]uint64, len(writes)), rows.failure
}

// daemon is a node behind a server.
type daemon struct {
	*Node
	address string
	report  Report
	// loads are the requests in flight.
	loads Loads
	// tracker holds the requests that crashed replicas.
	tracker *quarantine.Tracker
	// notices holds the replicas that leave.
	notices *notice.Book
}

func newDaemon(t *testing.T, name string, state State, failure error, seeds ...string) *daemon {
	made := &daemon{tracker: quarantine.NewTracker(2), notices: notice.New()}
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	made.address = strings.TrimPrefix(server.URL, "http://")
	made.Node = New(Settings{Self: Member{Name: name, Address: made.address}, Seeds: seeds, Client: http.DefaultClient}, Parts{
		State: func() State { return state },
		Loads: func() Loads { return made.loads },
		Suspects: func() []quarantine.Suspect {
			return made.tracker.Share(8, time.Now())
		},
		HearSuspects: func(suspects []quarantine.Suspect) { made.tracker.Import(suspects, time.Now()) },
		Leaving:      func() []topology.Incarnation { return made.notices.Latest(8) },
		HearLeaving:  func(runs []topology.Incarnation) { made.notices.Leave(runs[0], time.Now()) },
		Sync: func(_ context.Context, report Report) (directory.Announcement, error) {
			made.report = report
			return announcement, nil
		},
		Answer: func(_ context.Context, question Question) Answer {
			return Answer{Configuration: []byte("c"), Roster: question.Roster + 1, Rows: []Row{{Key: "k", Version: 2, Value: []byte("v")}}}
		},
		Tables: rows{failure},
	}, clock.RealClock{}, rand.New(rand.NewPCG(1, 2)))
	mux.Handle("/", made.Handler())
	return made
}

var flight = demand.InFlight{Running: 5, Waiting: [demand.Priorities]int{0, 2, 0, 1}}

var announcement = directory.Announcement{
	Fence: 4, Revision: 9,
	Placements: []directory.Placement{
		{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Revision: 2, Holding: topology.Holding{Orders: 3, Models: []topology.LoadedModel{{Model: "m", Version: 1, Adapters: []string{"a1"}}}}},
		{Incarnation: topology.Incarnation{ID: "f", Started: 1}, Revision: 9, Holding: topology.Holding{Orders: 1}, Loading: directory.Loading{Model: "m", FromStore: true}},
	},
	Running: map[topology.Incarnation]demand.InFlight{{ID: "e", Started: 1}: flight},
}

func TestDaemonsFindEachOtherThroughASeed(t *testing.T) {
	place := demand.ReplicaKey{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Key: demand.Key{Service: "s", Model: "m"}}
	seed := newDaemon(t, "a", State{Fence: 7, Configuration: 3, StoreAge: time.Second}, nil)
	seed.loads = Loads{place: flight}
	second := newDaemon(t, "b", State{}, nil, seed.address)
	third := newDaemon(t, "c", State{}, nil, seed.address)
	for _, node := range []*daemon{second, third, third, second} {
		for address := range node.members.known {
			node.greet(t.Context(), address)
		}
	}
	if live := second.Live(); len(live) != 2 || live[0].Name != "a" || live[1].Name != "c" {
		t.Errorf("b knows %+v", live)
	}
	holder, ok := third.Holder()
	if !ok || holder.Name != "a" || holder.Configuration != 3 || third.Running()[place.Incarnation] != flight {
		t.Errorf("c takes %+v for the holder", holder)
	}
}

// TestGreetingsTellOfReplicas covers what a daemon learns from one greeting of another: requests that crash replicas, and
// replicas that leave.
func TestGreetingsTellOfReplicas(t *testing.T) {
	run := topology.Incarnation{ID: "r", Started: 3}
	told := newDaemon(t, "a", State{}, nil)
	told.notices.Leave(run, time.Now())
	for _, boot := range []string{"1", "2"} {
		told.tracker.ConnectionLost(7, quarantine.Crash{Upstream: "r", BootID: boot, Sequence: 1}, time.Now())
	}
	heard := newDaemon(t, "b", State{}, nil, told.address)
	heard.greet(t.Context(), told.address)
	if _, refused := heard.tracker.Refused(7, time.Now()); !refused || !heard.notices.Leaving(run) {
		t.Errorf("refused %v, leaving %v", refused, heard.notices.Leaving(run))
	}
	if suspect, _ := heard.tracker.Suspect(7, time.Now()); len(suspect.Crashes) != 2 || suspect.Crashes[0].Sequence != 1 {
		t.Errorf("heard %+v", suspect)
	}
}

func TestSyncCarriesDemandAndChanges(t *testing.T) {
	holder := newDaemon(t, "a", State{}, nil)
	other := newDaemon(t, "b", State{}, nil)
	now := time.Now()
	want := demand.KeyDemand{
		Key:     demand.Key{Service: "s", Model: "m", Adapter: "a1"},
		Waiting: 2, Oldest: now.Add(-time.Second), Rate: 1.5, Tokens: 800, Target: time.Second, LastArrival: now,
	}
	got, err := other.Sync(t.Context(), holder.address, Report{Name: "b", Wants: []demand.KeyDemand{want}, Fence: 4, Revision: 5})
	if err != nil || got.Since != 5 || len(got.Placements) != 1 || got.Placements[0].ID != "f" || got.Placements[0].Loading.Model != "m" || !got.Placements[0].Loading.FromStore || got.Running[topology.Incarnation{ID: "e", Started: 1}] != flight {
		t.Errorf("announced %+v, %v", got, err)
	}
	heard := holder.report.Wants[0]
	if heard.Key != want.Key || heard.Waiting != 2 || heard.Rate != 1.5 || heard.Tokens != 800 || heard.Target != time.Second ||
		heard.Oldest.Sub(want.Oldest).Abs() > 500*time.Millisecond {
		t.Errorf("heard %+v", heard)
	}
	whole, err := other.Sync(t.Context(), holder.address, Report{Name: "b"})
	if err != nil || whole.Since != 0 || !reflect.DeepEqual(whole.Placements[0].Holding, announcement.Placements[0].Holding) {
		t.Errorf("announced %+v, %v", whole, err)
	}
}

func TestAskGivesWhatIsNewer(t *testing.T) {
	informed := newDaemon(t, "a", State{}, nil)
	answer, err := newDaemon(t, "b", State{}, nil).Ask(t.Context(), informed.address, Question{Roster: 4})
	if err != nil || answer.Roster != 5 || string(answer.Configuration) != "c" || len(answer.Rows) != 1 || answer.Rows[0].Version != 2 {
		t.Errorf("answer %+v, %v", answer, err)
	}
}

func TestTablesKeepTheKindOfFailure(t *testing.T) {
	for _, failure := range append([]error{nil}, tableFailures...) {
		reached := newDaemon(t, "a", State{}, failure)
		tables := newDaemon(t, "b", State{}, nil).Through(func() (string, bool) { return reached.address, true })
		if _, err := tables.Commit(t.Context(), []datastore.Write{{}}); !errors.Is(err, failure) {
			t.Errorf("%v arrives as %v", failure, err)
		}
		if _, err := tables.Read(t.Context(), datastore.Key{Table: "t", Row: "r"}); !errors.Is(err, failure) {
			t.Errorf("%v arrives as %v", failure, err)
		}
	}
	nobody := newDaemon(t, "b", State{}, nil).Through(func() (string, bool) { return "", false })
	if _, err := nobody.Commit(t.Context(), nil); !errors.Is(err, datastore.ErrUnavailable) {
		t.Errorf("without another daemon a transaction gives %v", err)
	}
	gone := newDaemon(t, "b", State{}, nil).Through(func() (string, bool) { return "127.0.0.1:1", true })
	if _, err := gone.Commit(t.Context(), []datastore.Write{{}}); !errors.Is(err, datastore.ErrUnclear) {
		t.Errorf("a daemon that is gone gives %v", err)
	}
}
