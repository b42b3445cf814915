package release

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// Follower maintains the state in force for one daemon. InForce, Changed, Since, Offer and Status are safe for
// concurrent use. Run must be called once.
type Follower struct {
	reader
	clock    clock.Clock
	settings FollowerSettings
	// random adds jitter to the poll interval of daemons that start together. Only Run uses it.
	random *rand.Rand
	offers *offers
	recent *recentDifferences
	// loggedBehind is one more than the last number of the platform that was logged as lower than the published one,
	// and zero if there is none. peerFailures is the number of consecutive updates from peers that failed. Only Run
	// uses them.
	loggedBehind uint64
	peerFailures int
	// inForce is nil until a state is known. Its number never decreases.
	inForce atomic.Pointer[InForce]

	mutex sync.Mutex
	// changed is closed and replaced at each new state.
	changed chan struct{}
	status  Status
}

// NewFollower returns a follower without a state.
func NewFollower(tables datastore.Tables, objects datastore.Objects, clock clock.Clock, random *rand.Rand, settings FollowerSettings) *Follower {
	return &Follower{
		reader:   reader{tables: tables, objects: objects},
		clock:    clock,
		settings: settings,
		random:   random,
		offers:   newOffers(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))),
		recent:   &recentDifferences{},
		changed:  make(chan struct{}),
	}
}

// InForce returns the state in force, and whether one is known.
func (follower *Follower) InForce() (InForce, bool) {
	inForce := follower.inForce.Load()
	if inForce == nil {
		return InForce{}, false
	}
	return *inForce, true
}

// Changed returns a channel that is closed at the next new state. Get the channel before reading InForce, so that no
// change is missed.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.changed
}

// Since returns an update from the number to the state in force, for a peer. The differences of the newest 64 notes
// are kept; a peer that is further behind receives the whole catalogue.
func (follower *Follower) Since(_ context.Context, number uint64) (Update, error) {
	inForce, _ := follower.InForce()
	return follower.recent.update(number, inForce)
}

// Offer records that a peer has a number in force. If the number is higher than the published one, the state is
// fetched from the peer at once or, while no state is known, after a poll of the platform failed.
func (follower *Follower) Offer(number uint64, source Source) {
	inForce, known := follower.InForce()
	if known && number <= inForce.Number {
		return
	}
	follower.offers.put(offer{number: number, source: source})
}

// Run follows the number in force until the context ends, and returns the error of the context.
func (follower *Follower) Run(ctx context.Context) error {
	timer := follower.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C():
			follower.pollPlatform(ctx)
			timer.Reset(follower.nextPollDelay())
		case <-follower.offers.wake:
			follower.handleOffers(ctx)
		}
	}
}

// nextPollDelay returns the time to the next poll: the interval with a jitter of up to 10%.
func (follower *Follower) nextPollDelay() time.Duration {
	interval := follower.settings.interval()
	jitter := follower.random.Float64()/5 - 0.1
	return interval + time.Duration(jitter*float64(interval))
}
