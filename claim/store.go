package claim

import (
	"context"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/ring"
)

// Store claims calls in the table service of the platform. It is safe for concurrent use. Use New.
type Store struct {
	settings Settings
	tables   datastore.Tables
	clock    clock.Clock
	group    *group
	// later holds what could not be written while the table service was away.
	later *ring.Ring[func(ctx context.Context) bool]

	mutex sync.Mutex
	// held holds the attempts of this daemon that run now.
	held map[string]bool
}

// New returns a store over the tables. Run must run beside it.
func New(settings Settings, tables datastore.Tables, clock clock.Clock) *Store {
	settings = settings.withDefaults()
	return &Store{
		settings: settings,
		tables:   tables,
		clock:    clock,
		group:    newGroup(tables, clock, settings.Timeout),
		later:    ring.New[func(ctx context.Context) bool](laterMost),
		held:     map[string]bool{},
	}
}

// Flush waits until every record that can be written is written, or the context ends.
func (store *Store) Flush(ctx context.Context) {
	store.group.wait(ctx)
	store.retry(ctx)
}

// hold notes that an attempt of this daemon runs, or no longer does.
func (store *Store) hold(attempt string, runs bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if runs {
		store.held[attempt] = true
		return
	}
	delete(store.held, attempt)
}

// holds reports whether the attempt runs on this daemon.
func (store *Store) holds(attempt string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.held[attempt]
}
