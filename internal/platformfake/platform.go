package platformfake

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// Platform is one platform that several clients share. Use New.
type Platform struct {
	clock clock.Clock

	mutex sync.Mutex
	// random draws faults and delays and is guarded by mutex.
	random *rand.Rand
	store  *store
	// late holds the writes of UnclearLate in order.
	late   []func()
	counts Counts
	down   bool
	rates  Rates
	// shortest and longest bound the delay before and after the effect of each call.
	shortest, longest time.Duration
	// lists are the VM lists in the order in which they were set.
	lists []timedList
	lag   time.Duration
}

// timedList is a VM list and the time from which it was true.
type timedList struct {
	since time.Time
	vms   []datastore.VM
}

// New returns an empty platform without faults. The random numbers decide faults and delays only.
func New(clock clock.Clock, random *rand.Rand) *Platform {
	return &Platform{clock: clock, random: random, store: newStore()}
}

// SetDown makes every call of every client fail with datastore.ErrUnavailable.
func (fake *Platform) SetDown(down bool) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.down = down
}

// SetRates sets the shares of calls that fail at random.
func (fake *Platform) SetRates(rates Rates) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.rates = rates
}

// SetDelay makes each call wait between shortest and longest before its effect, and again before its answer.
func (fake *Platform) SetDelay(shortest, longest time.Duration) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.shortest, fake.longest = shortest, longest
}

// Counts returns the calls that reached the platform since New.
func (fake *Platform) Counts() Counts {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.counts
}

// ApplyLate applies the writes that UnclearLate holds back, in order, and returns how many there were.
// A write whose conditions no longer hold does nothing.
func (fake *Platform) ApplyLate() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	late := fake.late
	fake.late = nil
	for _, apply := range late {
		apply()
	}
	return len(late)
}

// ReplaceObject changes an object behind the back of its users.
func (fake *Platform) ReplaceObject(name string, content []byte) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.store.objects[name] = content
}

// DeleteObject removes an object behind the back of its users.
func (fake *Platform) DeleteObject(name string) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	delete(fake.store.objects, name)
}

// Client returns the platform as one process reaches it.
func (fake *Platform) Client() *Client {
	return &Client{fake: fake}
}

func (fake *Platform) delay() time.Duration {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	spread := fake.longest - fake.shortest
	if spread <= 0 {
		return fake.shortest
	}
	return fake.shortest + time.Duration(fake.random.Int64N(int64(spread)))
}
