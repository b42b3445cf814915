package ratelimit

import (
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/rendezvous"
)

// The shares of a limit that a daemon grants, by its rank among the live daemons for the replica. Daemons that differ in
// whom they see may ask two grantors, whose shares together stay below the one and a half times that a replica bears.
const (
	firstShare  = 0.97
	secondShare = 0.25
)

// maxGrantors is the number of daemons that may be asked for tokens of one key.
const maxGrantors = 2

// Grantors returns up to maxGrantors daemons that divide the limit of the key, which is the ID of a replica or any other name,
// among all, the first being the one to ask. All daemons that see the same others choose the same ones.
func Grantors(daemons []string, key string) []string {
	return rendezvous.Choose(key, daemons, maxGrantors)
}

// shareOf returns the share of the limit of the key that the daemon may grant while it sees the live daemons.
func shareOf(name string, live []string, key string) float64 {
	switch slices.Index(Grantors(live, key), name) {
	case 0:
		return firstShare
	case 1:
		return secondShare
	default:
		return 0
	}
}

const (
	// avoidAfter is the number of consecutive failures after which a grantor is avoided, and avoidTime for how long.
	avoidAfter = 4
	avoidTime  = 2 * time.Second
)

// Route chooses which of the grantors of a key a daemon asks. It is safe for concurrent use. Use NewRoute.
type Route struct {
	mutex sync.Mutex
	// failures maps grantors to their consecutive failures.
	failures map[string]grantorFailures
}

// grantorFailures counts the consecutive failures of one grantor.
type grantorFailures struct {
	count int
	last  time.Time
}

// NewRoute returns a route without failures.
func NewRoute() *Route {
	return &Route{failures: map[string]grantorFailures{}}
}

// Choose returns the first grantor, or the second while the first one fails.
func (route *Route) Choose(grantors []string, now time.Time) string {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	failed := route.failures[grantors[0]]
	if len(grantors) > 1 && failed.count >= avoidAfter && now.Sub(failed.last) < avoidTime {
		return grantors[1]
	}
	return grantors[0]
}

// Failed records that the grantor did not respond.
func (route *Route) Failed(grantor string, now time.Time) {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	route.failures[grantor] = grantorFailures{route.failures[grantor].count + 1, now}
}

// Refused records that the grantor does not divide the limit.
func (route *Route) Refused(grantor string, now time.Time) {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	route.failures[grantor] = grantorFailures{avoidAfter, now}
}

// Answered records that the grantor responded.
func (route *Route) Answered(grantor string) {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	delete(route.failures, grantor)
}
