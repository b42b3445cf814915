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

// Follower keeps the state in force of one daemon. InForce, Changed, Since,
// Offer and Status are safe for concurrent use; Run is called once.
type Follower struct {
	reader
	clock    clock.Clock
	settings FollowerSettings
	// random spreads the readings of daemons that start together. Only Run uses it.
	random *rand.Rand
	offers *offers
	recent *recentDifferences
	// loggedBehind is one more than the lower number of the platform that was logged last, and peerFailures the number of
	// updates that could not be had in a row. Only Run uses them.
	loggedBehind       uint64
	peerFailures int
	// inForce is nil until a state is known. Its number never falls.
	inForce atomic.Pointer[InForce]

	mutex sync.Mutex
	// changed is closed and replaced at each new state.
	changed chan struct{}
	status  Status
}

// NewFollower returns a follower that knows nothing yet.
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

// InForce returns the state in force, and false as long as none is known.
func (follower *Follower) InForce() (InForce, bool) {
	inForce := follower.inForce.Load()
	if inForce == nil {
		return InForce{}, false
	}
	return *inForce, true
}

// Changed returns a channel that is closed at the next new state. Take the channel before reading InForce.
func (follower *Follower) Changed() <-chan struct{} {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.changed
}

// Since returns an update from the number to the state in force, for a peer. Differences are kept for
// the newest 64 notes; a peer that is further behind gets the whole catalogue.
func (follower *Follower) Since(_ context.Context, number uint64) (Update, error) {
	inForce, _ := follower.InForce()
	return follower.recent.update(number, inForce)
}

// Offer tells that a peer has a number in force. A higher number than the own is fetched from
// the peer at once, or, as long as no state is known, after a reading of the platform failed.
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

// nextPollDelay returns the time to the next reading: the interval, a tenth more or less.
func (follower *Follower) nextPollDelay() time.Duration {
	interval := follower.settings.interval()
	spread := follower.random.Float64()/5 - 0.1
	return interval + time.Duration(spread*float64(interval))
}
