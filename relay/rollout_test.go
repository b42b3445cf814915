package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/rollout"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// rolloutEvents is the number of events of a stream in a rollout, one every rolloutGap; clients leave it after half of them.
	rolloutEvents = 40
	rolloutGap    = 100 * time.Millisecond
	// rolloutArrivals is the time between two streams.
	rolloutArrivals = 200 * time.Millisecond
)

// streamers is an Upstream whose replicas stream rolloutEvents events.
type streamers struct{}

func (streamers) Send(ctx context.Context, request *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error) {
	var parts []part
	last, _ := attempt.ResumeAfter.Or(request.Metadata.LastEventID).Number()
	for id := int(last) + 1; id <= rolloutEvents; id++ {
		parts = append(parts, part{rolloutGap, events(id, id)})
	}
	return &exchange.Reply{
		Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, EventStream: true,
		Body: &partedBody{ctx, parts, io.EOF},
	}, nil
}

// rolloutStep changes the number of replicas of both releases after the time.
type rolloutStep struct {
	after    time.Duration
	old, new int
}

// rolloutRun is the course of a rollout with streams.
type rolloutRun struct {
	fixture *fixture
	begun   time.Time

	mutex sync.Mutex
	// began counts the streams by release, and stranded those that could not be taken up, by when they began.
	began    map[string]int
	stranded []time.Duration
}

// set publishes the number of replicas of both releases. The replicas that are left out have announced that they leave.
func (run *rolloutRun) set(older, newer int) {
	var all []topology.Replica
	for release, count := range map[string]int{"v1": older, "v2": newer} {
		for number := range count {
			all = append(all, topology.Replica{
				Incarnation: topology.Incarnation{ID: fmt.Sprint(release, "-", number)}, Service: "engine", Zone: "z", Slots: 16, Release: release,
				Holding: topology.Holding{Models: []topology.LoadedModel{{Model: "m"}}},
			})
		}
	}
	run.fixture.directory.SetReplicas(all)
	run.fixture.relay.deps.Rollouts.Observe(all, time.Now())
}

// stream begins a stream, leaves it after half of its events and takes it up.
func (run *rolloutRun) stream(t *testing.T, number int) {
	began := time.Since(run.begun)
	first := run.fixture.request("/resume/x")
	first.Metadata.ID = fmt.Sprint("first-", number)
	ctx, cancel := context.WithTimeout(t.Context(), rolloutEvents/2*rolloutGap+rolloutGap/2)
	defer cancel()
	_, _ = run.fixture.relay.Serve(ctx, first, &client{})
	next := run.fixture.request("/resume/x")
	next.Metadata.ID, next.Metadata.Resumes, next.Metadata.LastEventID = fmt.Sprint("next-", number), first.Metadata.ID, exchange.NewEventID(rolloutEvents/2)
	_, failure := run.fixture.relay.Serve(t.Context(), next, &client{})
	run.mutex.Lock()
	defer run.mutex.Unlock()
	found, _ := run.fixture.origins.Find(t.Context(), first.Metadata.ID, "engine")
	run.began[found.Release]++
	if failure != nil && failure.Kind == outcome.NoReplica {
		run.stranded = append(run.stranded, began)
	} else if failure != nil {
		t.Errorf("stream %d ended as %v", number, failure)
	}
}

// runRollout takes the steps while streams begin, and goes on for the time after the last one.
func runRollout(t *testing.T, steps []rolloutStep, rest time.Duration) *rolloutRun {
	run := &rolloutRun{fixture: newFixture(), begun: time.Now(), began: map[string]int{}}
	run.fixture.relay.deps.Upstream = streamers{}
	run.fixture.relay.deps.Rollouts = rollout.New()
	run.set(3, 0)
	length := rest
	for _, step := range steps {
		length += step.after
	}
	var streams sync.WaitGroup
	streams.Go(func() {
		for _, step := range steps {
			time.Sleep(step.after)
			run.set(step.old, step.new)
		}
	})
	for number := range int(length / rolloutArrivals) {
		streams.Go(func() { run.stream(t, number) })
		time.Sleep(rolloutArrivals)
	}
	streams.Wait()
	return run
}

// replacement returns the steps that replace three replicas of the older release, each when one of the newer has joined before.
func replacement(interval time.Duration) []rolloutStep {
	join := interval / 5
	leave := interval - join
	return []rolloutStep{{join, 3, 1}, {leave, 2, 1}, {join, 2, 2}, {leave, 1, 2}, {join, 1, 3}, {leave, 0, 3}}
}

// TestNewStreamsGoToReleasesThatStay guards against issue 43: streams began at the last replicas of a release that left, and could not
// be taken up when these were gone.
func TestNewStreamsGoToReleasesThatStay(t *testing.T) {
	cases := []struct {
		name  string
		steps []rolloutStep
		// known is when the first replica has left: streams that began later must be able to go on.
		known time.Duration
	}{
		{"a replica every second", replacement(time.Second), time.Second},
		{"a replica every 2 s", replacement(2 * time.Second), 2 * time.Second},
		{"a replica every 5 s", replacement(5 * time.Second), 5 * time.Second},
		{"a replica every 20 s", replacement(20 * time.Second), 20 * time.Second},
		{"back to the older release", []rolloutStep{
			{time.Second, 3, 1},
			{4 * time.Second, 2, 1},
			{time.Second, 2, 2},
			{4 * time.Second, 1, 2},
			{time.Second, 2, 2},
			{4 * time.Second, 2, 1},
			{time.Second, 3, 1},
			{4 * time.Second, 3, 0},
		}, 15 * time.Second},
		{"one of the older replicas crashes and starts again", []rolloutStep{
			{time.Second, 3, 1}, {4 * time.Second, 2, 1}, {time.Second, 1, 1}, {time.Second, 2, 1}, {time.Second, 2, 2}, {4 * time.Second, 1, 2}, {5 * time.Second, 0, 2},
		}, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := runRollout(t, c.steps, 5*time.Second)
				late := 0
				for _, began := range run.stranded {
					if began > c.known {
						late++
					}
				}
				t.Logf("streams by release %v; %d could not be taken up, %d of them began when the rollout was known", run.began, len(run.stranded), late)
				if late > 0 {
					t.Errorf("%d streams that could not be taken up began at %v", late, run.stranded)
				}
			})
		})
	}
}

// TestReleaseThatLeftChangesNoChoice guards against streams that avoid busy replicas after a rollout, when no replica of the older
// release is left to choose.
func TestReleaseThatLeftChangesNoChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := &rolloutRun{fixture: newFixture()}
		run.fixture.relay.deps.Rollouts = rollout.New()
		for _, step := range []rolloutStep{{0, 1, 0}, {0, 1, 1}, {0, 0, 1}} {
			run.set(step.old, step.new)
		}
		now := time.Now()
		route := run.fixture.relay.Configuration().Match("h", "/resume/x")
		begins := &transaction{relay: run.fixture.relay, route: route, service: topology.Service{Name: "engine"}, deadline: now.Add(time.Second)}
		left := []balance.Candidate{{Release: "v1"}, {Release: "v2"}}
		for _, c := range []struct {
			name       string
			candidates []balance.Candidate
			release    string
			want       []string
		}{
			{"listed before its last replica left", left, "", []string{"v1"}},
			{"no longer listed", left[1:], "", nil},
			{"a stream that has begun", left, "v1", nil},
		} {
			begins.release = c.release
			if got := begins.leavingReleases(c.candidates, now); !slices.Equal(got, c.want) {
				t.Errorf("%s: the releases that leave are %v, want %v", c.name, got, c.want)
			}
		}
	})
}
