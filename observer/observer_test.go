package observer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// fakeEngines has an engine of any name and counts the polls of each.
type fakeEngines struct {
	lock  sync.Mutex
	polls map[string]int
	phase upstream.Phase
	err   error
}

func (engines *fakeEngines) Engine(name string) (upstream.Engine, bool) {
	return fakeEngine{engines, name}, true
}

func (engines *fakeEngines) count(name string) int {
	engines.lock.Lock()
	defer engines.lock.Unlock()
	return engines.polls[name]
}

type fakeEngine struct {
	engines *fakeEngines
	name    string
}

func (engine fakeEngine) State(context.Context) (upstream.State, error) {
	engine.engines.lock.Lock()
	defer engine.engines.lock.Unlock()
	engine.engines.polls[engine.name]++
	return upstream.State{Replicas: []upstream.Replica{{Phase: engine.engines.phase}}}, engine.engines.err
}

func (fakeEngine) Send(context.Context, upstream.Order) (upstream.Verdict, error) {
	return "", errors.New("not used")
}

type fakeStore struct{}

func (fakeStore) Put(upstream.State, time.Time, bool) bool { return true }

func TestIntervalDependsOnThePhase(t *testing.T) {
	for _, test := range []struct {
		name  string
		phase upstream.Phase
		err   error
		want  int
	}{
		{"ready", upstream.Ready, nil, 10},
		{"loading", upstream.Loading, nil, 100},
		{"not responding", upstream.Loading, upstream.ErrNotSent, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{polls: map[string]int{}, phase: test.phase, err: test.err}
				observer := New(Settings{}, engines, fakeStore{}, clock.RealClock{})
				ctx, cancel := context.WithCancel(t.Context())
				observer.Assign(ctx, []string{"u"})
				time.Sleep(10*time.Second - time.Millisecond)
				cancel()
				observer.Wait()
				if got := engines.count("u"); got != test.want {
					t.Errorf("polled %d times in 10 s, want %d", got, test.want)
				}
			})
		})
	}
}

func TestAssignStopsUnassignedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{polls: map[string]int{}, phase: upstream.Ready}
		observer := New(Settings{}, engines, fakeStore{}, clock.RealClock{})
		ctx, cancel := context.WithCancel(t.Context())
		observer.Assign(ctx, []string{"a", "b"})
		time.Sleep(time.Second / 2)
		observer.Assign(ctx, []string{"b"})
		time.Sleep(3 * time.Second)
		cancel()
		observer.Wait()
		if engines.count("a") != 1 || engines.count("b") != 4 {
			t.Errorf("polls are %v", engines.polls)
		}
	})
}
