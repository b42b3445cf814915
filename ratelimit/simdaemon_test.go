package ratelimit

import (
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// simDaemon is one daemon of a fleet.
type simDaemon struct {
	fleet *fleet
	index int
	name  string
	// side is the side of a partition that the daemon is on.
	side       int
	frozen     bool
	table      *Table
	limiter    *Limiter
	allocator  *Allocator
	membership *Membership
	// lastSeen maps daemons to when they were last in reach.
	lastSeen []time.Time
	route    *Route
	// tokens is for other ways of sharing.
	tokens float64
	// waiting lists the requests that wait for a token.
	waiting []*Waiter
}

// restart starts a new process of the daemon. It sees the others that it reaches.
func (daemon *simDaemon) restart() {
	daemon.table = NewTable()
	daemon.limiter = NewLimiter(daemon.table)
	daemon.allocator = NewAllocator()
	daemon.membership = NewMembership(daemon.name, daemon.fleet.now)
	daemon.route = NewRoute()
	daemon.waiting = nil
	for index := range daemon.lastSeen {
		daemon.lastSeen[index] = daemon.fleet.now
	}
}

// reaches reports whether a message to the other daemon arrives.
func (daemon *simDaemon) reaches(other *simDaemon) bool {
	return daemon.side == other.side && !daemon.frozen && !other.frozen && daemon.fleet.random.Float64() >= daemon.fleet.loss
}

// step lets the daemon send requests, ask for tokens, and exchange limits and memberships when they are due.
func (daemon *simDaemon) step(step int) {
	fleet := daemon.fleet
	const gossipSteps, memberSteps = 20, 50
	if (step+daemon.index)%gossipSteps == 0 {
		daemon.gossip()
	}
	if (step+daemon.index)%memberSteps == 0 {
		daemon.observeMembers()
	}
	if fleet.sharing == nil {
		daemon.ask()
	}
	daemon.serveWaiting()
	expected := fleet.demand(daemon.index) * simStep.Seconds()
	for gap := fleet.random.ExpFloat64(); gap < expected; gap += fleet.random.ExpFloat64() {
		daemon.arrive()
	}
}

// arrive decides on a request for the replica: it is sent, waits, or goes elsewhere.
func (daemon *simDaemon) arrive() {
	fleet := daemon.fleet
	if fleet.sharing != nil {
		if _, limited := daemon.table.Limit(fleet.replica); !limited || fleet.sharing(daemon) {
			daemon.send()
		}
		return
	}
	available, _ := daemon.limiter.Available(fleet.replica, true, fleet.now)
	if available {
		if _, ok := daemon.limiter.Take(fleet.replica, fleet.now); ok {
			daemon.send()
		}
		return
	}
	if fleet.patience > 0 {
		daemon.waiting = append(daemon.waiting, daemon.limiter.Wait([]topology.Incarnation{fleet.replica}, 0, fleet.now, fleet.now))
	}
}

// serveWaiting sends the waiting requests that have got a token, and refuses those that waited for too long.
func (daemon *simDaemon) serveWaiting() {
	kept := daemon.waiting[:0]
	for _, waiter := range daemon.waiting {
		select {
		case <-waiter.Ready():
			if _, ok := daemon.limiter.Leave(waiter); ok {
				daemon.send()
			}
			continue
		default:
		}
		if daemon.fleet.now.Sub(waiter.arrived) < daemon.fleet.patience {
			kept = append(kept, waiter)
			continue
		}
		daemon.limiter.Leave(waiter)
		daemon.fleet.refused++
	}
	daemon.waiting = kept
}

// send sends a request to the replica, whose response states the limit.
func (daemon *simDaemon) send() {
	fleet := daemon.fleet
	sent := fleet.now
	fleet.arrivals = append(fleet.arrivals, sent)
	table, perSecond := daemon.table, fleet.perSecond
	fleet.after(responseSteps, func() {
		table.Observe(fleet.replica, Observation{Named: perSecond > 0, PerSecond: perSecond, Conclusive: true, Sent: sent, Received: fleet.now})
	})
}

// gossip exchanges limits with a random daemon.
func (daemon *simDaemon) gossip() {
	fleet := daemon.fleet
	other := fleet.daemons[fleet.random.IntN(len(fleet.daemons))]
	if other == daemon || !daemon.reaches(other) {
		return
	}
	for _, pair := range [][2]*simDaemon{{daemon, other}, {other, daemon}} {
		for _, entry := range pair[0].table.Share(8, fleet.now) {
			pair[1].table.Merge(entry, fleet.now)
		}
	}
}

// observeMembers updates the daemons that the daemon sees.
func (daemon *simDaemon) observeMembers() {
	fleet := daemon.fleet
	var others []Member
	for index, other := range fleet.daemons {
		if other == daemon {
			continue
		}
		if other.side == daemon.side && !other.frozen {
			daemon.lastSeen[index] = fleet.now
		}
		if fleet.now.Sub(daemon.lastSeen[index]) <= fleet.lostAfter {
			others = append(others, Member{Name: other.name})
		}
	}
	daemon.membership.Observe(others, false, fleet.now)
}

// ask sends the questions that are due to their grantors.
func (daemon *simDaemon) ask() {
	fleet := daemon.fleet
	for _, ask := range daemon.limiter.Due(fleet.now) {
		name := daemon.route.Choose(Grantors(daemon.membership.Live(), ask.Replica.ID), fleet.now)
		var index int
		_, _ = fmt.Sscanf(name, "d%d", &index)
		grantor := fleet.daemons[index]
		limiter, route := daemon.limiter, daemon.route
		fail := func() {
			fleet.after(askTimeoutSteps, func() {
				limiter.Failed(ask, fleet.now)
				route.Failed(name, fleet.now)
			})
		}
		fleet.messages++
		if grantor != daemon && !daemon.reaches(grantor) {
			fail()
			continue
		}
		fleet.after(1, func() {
			if grantor.frozen {
				fail()
				return
			}
			grant := grantor.grant(daemon.name, ask)
			if grantor != daemon && !grantor.reaches(daemon) {
				fail()
				return
			}
			fleet.after(1, func() {
				if grant.Refused {
					limiter.Failed(ask, fleet.now)
					route.Refused(name, fleet.now)
					return
				}
				route.Answered(name)
				limiter.Granted(ask, grant, fleet.now)
			})
		})
	}
}

// grant responds to a question.
func (daemon *simDaemon) grant(asker string, ask Ask) Grant {
	now := daemon.fleet.now
	share := daemon.membership.Share(ask.Replica.ID, now)
	perSecond, limited := daemon.table.Limit(ask.Replica)
	if share == 0 || !limited {
		return Grant{Refused: true}
	}
	return daemon.allocator.Grant(asker, ask, share*perSecond, now)
}
