package front

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/ratelimit"
)

// grantors asks the daemons that divide something among all daemons for parts of it. One of them divides what belongs to one key.
type grantors[Ask, Grant any] struct {
	daemon *Daemon
	// route chooses among the daemons that divide what belongs to a key.
	route *ratelimit.Route
	// due returns the questions that are due, and keyOf the key of one.
	due   func(now time.Time) []Ask
	keyOf func(ask Ask) string
	// mostAsks bounds the questions in one message; zero for no bound.
	mostAsks int
	// local responds to questions as this daemon, which is named, and remote asks the daemon at the address.
	local  func(asker string, asks []Ask) []Grant
	remote func(ctx context.Context, address string, asks []Ask) ([]Grant, error)
	// refused reports whether the grant is a refusal, since the daemon does not divide what belongs to the key; nil if there are none.
	refused func(grant Grant) bool
	// granted and failed record the grant for a question, or that there is none.
	granted func(ask Ask, grant Grant, now time.Time)
	failed  func(ask Ask, now time.Time)
}

// askDue starts to ask the questions that are due.
func (grantors *grantors[Ask, Grant]) askDue(ctx context.Context) {
	for name, asks := range grantors.dueByName() {
		most := grantors.mostAsks
		if most == 0 {
			most = len(asks)
		}
		for batch := range slices.Chunk(asks, most) {
			go grantors.ask(ctx, name, batch)
		}
	}
}

// dueByName returns the questions that are due, by the daemons to ask.
func (grantors *grantors[Ask, Grant]) dueByName() map[string][]Ask {
	now := grantors.daemon.clock.Now()
	asks := grantors.due(now)
	if len(asks) == 0 {
		return nil
	}
	live := grantors.daemon.membership.Live()
	byName := map[string][]Ask{}
	for _, ask := range asks {
		names := ratelimit.Grantors(live, grantors.keyOf(ask))
		if len(names) == 0 {
			grantors.failed(ask, now)
			continue
		}
		name := grantors.route.Choose(names, now)
		byName[name] = append(byName[name], ask)
	}
	return byName
}

// ask asks the daemon of the name, which may be this one, and records its grants.
func (grantors *grantors[Ask, Grant]) ask(ctx context.Context, name string, asks []Ask) {
	grants, err := grantors.grantsOf(ctx, name, asks)
	now := grantors.daemon.clock.Now()
	if err != nil {
		grantors.route.Failed(name, now)
		for _, ask := range asks {
			grantors.failed(ask, now)
		}
		return
	}
	grantors.route.Answered(name)
	for index, ask := range asks {
		if grantors.refused != nil && grantors.refused(grants[index]) {
			grantors.route.Refused(name, now)
			grantors.failed(ask, now)
			continue
		}
		grantors.granted(ask, grants[index], now)
	}
}

// grantsOf returns the grants of the daemon of the name, in the order of the questions.
func (grantors *grantors[Ask, Grant]) grantsOf(ctx context.Context, name string, asks []Ask) ([]Grant, error) {
	if name == grantors.daemon.settings.Name {
		return grantors.local(name, asks), nil
	}
	address, seen := grantors.daemon.mesh.AddressOf(name)
	if !seen {
		return nil, trace.NotFound("the daemon %s is not seen", name)
	}
	return grantors.remote(ctx, address, asks)
}
