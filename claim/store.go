package claim

import (
	"context"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/boundedqueue"
	"github.com/bronzestall/bronzestall/datastore"
)

// Store claims calls in the table service of the platform. Create it with New. It is safe for concurrent use.
type Store struct {
	settings Settings
	tables   datastore.Tables
	clock    clock.Clock
	batcher  *batcher
	// postponed holds the writes that failed while the table service was unavailable.
	postponed *boundedqueue.Queue[func(ctx context.Context) bool]

	mutex sync.Mutex
	// running holds the attempts of this daemon that are running.
	running map[string]bool
}

// New returns a store over the tables. Run must be called in a goroutine, or postponed writes are not retried.
func New(settings Settings, tables datastore.Tables, clock clock.Clock) *Store {
	settings = settings.withDefaults()
	return &Store{
		settings:  settings,
		tables:    tables,
		clock:     clock,
		batcher:   newBatcher(tables, clock, settings.Timeout),
		postponed: boundedqueue.New[func(ctx context.Context) bool](maxPostponed),
		running:   map[string]bool{},
	}
}

// Flush waits for the pending writes and then retries the postponed ones once. It returns early if the context ends.
func (store *Store) Flush(ctx context.Context) {
	store.batcher.wait(ctx)
	store.retry(ctx)
}

// setRunning records whether an attempt of this daemon is running.
func (store *Store) setRunning(attempt string, runs bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if runs {
		store.running[attempt] = true
		return
	}
	delete(store.running, attempt)
}

// isRunning reports whether the attempt is running on this daemon.
func (store *Store) isRunning(attempt string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.running[attempt]
}
