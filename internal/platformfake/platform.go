package platformfake

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// Platform is an in-memory platform shared by several clients. It is safe for concurrent use. Use New.
type Platform struct {
	clock clock.Clock

	mutex sync.Mutex
	// random decides faults and delays; mutex guards it.
	random *rand.Rand
	store  *store
	// delayedWrites holds the writes of UnclearLate in order.
	delayedWrites []func()
	counts        Counts
	down          bool
	rates         Rates
	// shortest and longest bound the delay before and after each call is executed.
	shortest, longest time.Duration
	// lists holds the VM lists in the order in which they were set.
	lists []timedList
	lag   time.Duration
}

// timedList is a VM list and the time from which it was valid.
type timedList struct {
	validFrom time.Time
	vms       []datastore.VM
}

// New returns an empty platform without faults. The random source decides faults and delays only.
func New(clock clock.Clock, random *rand.Rand) *Platform {
	return &Platform{clock: clock, random: random, store: newStore()}
}

// SetDown makes every call of every client fail with datastore.ErrUnavailable, or ends that.
func (fake *Platform) SetDown(down bool) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.down = down
}

// SetRates sets the probabilities of random faults.
func (fake *Platform) SetRates(rates Rates) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.rates = rates
}

// SetDelay makes each call wait between shortest and longest before it is executed, and again before it returns.
func (fake *Platform) SetDelay(shortest, longest time.Duration) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.shortest, fake.longest = shortest, longest
}

// Counts returns the number of calls of all clients that reached the platform since New.
func (fake *Platform) Counts() Counts {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.counts
}

// ApplyLate applies the writes that UnclearLate delayed, in order, and returns their number.
// A write whose conditions are no longer met has no effect.
func (fake *Platform) ApplyLate() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	delayedWrites := fake.delayedWrites
	fake.delayedWrites = nil
	for _, apply := range delayedWrites {
		apply()
	}
	return len(delayedWrites)
}

// ReplaceObject overwrites an object without the check of Put, as an outside change would.
func (fake *Platform) ReplaceObject(name string, content []byte) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.store.objects[name] = content
}

// DeleteObject removes an object, as an outside change would.
func (fake *Platform) DeleteObject(name string) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	delete(fake.store.objects, name)
}

// Client returns a new client for one process.
func (fake *Platform) Client() *Client {
	return &Client{fake: fake}
}

func (fake *Platform) delay() time.Duration {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	span := fake.longest - fake.shortest
	if span <= 0 {
		return fake.shortest
	}
	return fake.shortest + time.Duration(fake.random.Int64N(int64(span)))
}

// Copy is a copy of the tables at one time.
type Copy struct {
	rows     map[string]map[string]datastore.Row
	revision datastore.Version
}

// StartEra makes the tables, which must be empty, begin in the given era.
func (fake *Platform) StartEra(era uint64) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.store.revision = datastore.NewVersion(era, 0)
}

// Save returns a copy of the tables.
func (fake *Platform) Save() Copy {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return Copy{rows: copyRows(fake.store.rows, fake.store.revision.Era()), revision: fake.store.revision}
}

// Restore makes the tables go on from a copy in the next era: what was written since is gone, and its numbers are given out
// again. Delayed writes take effect if their conditions still hold.
func (fake *Platform) Restore(saved Copy) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	era := fake.store.revision.Era() + 1
	fake.store.rows = copyRows(saved.rows, era)
	fake.store.revision = datastore.NewVersion(era, saved.revision.Number())
}

// copyRows returns a copy of the rows with versions of the era.
func copyRows(rows map[string]map[string]datastore.Row, era uint64) map[string]map[string]datastore.Row {
	copied := map[string]map[string]datastore.Row{}
	for table, named := range rows {
		copied[table] = map[string]datastore.Row{}
		for name, row := range named {
			row.Version = datastore.NewVersion(era, row.Version.Number())
			copied[table][name] = row
		}
	}
	return copied
}
