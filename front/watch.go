package front

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
)

const (
	// configurationWait is the longest time that the store delays its response if the configuration does not
	// change.
	configurationWait = 4 * time.Second
	// minRetryPause and maxRetryPause bound the time from a call that failed to the next one, which doubles with each failure. After a
	// call that failed late the pause is minRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// tableWatcher reads a snapshot of one table of the store and then its changes.
type tableWatcher struct {
	daemon *Daemon
	table  string
	// wait is the longest time that the store delays its response if nothing changed, as long as it is known to answer, and pause is the
	// time between two calls.
	wait  time.Duration
	pause time.Duration
	// onSnapshot receives all rows, and onChanges receives changes, both up to the version.
	onSnapshot func(rows []datastore.Row, version datastore.Version)
	onChanges  func(changes []platform.Change, version datastore.Version)
	// active reports whether this daemon watches the table now; nil means whether it reads the store's
	// tables.
	active func() bool
	// onRecovery is called when the store answers again after a failure, or came back from an older copy; may be nil.
	onRecovery func()
	// onRestored is called after onSnapshot if the store came back from an older copy since the last one; may be nil.
	onRestored func()
	// onResponse is called after each result was applied, with the time before the call; may be nil.
	onResponse func(begun time.Time)
	// failed is set if the last call failed. Daemon.storeLost cannot replace it, since the watcher of another
	// table may have reset it already.
	failed bool
}

// run watches the table until the context ends.
func (watcher *tableWatcher) run(ctx context.Context) error {
	version, known := datastore.Version(0), false
	pause := minRetryPause
	for ctx.Err() == nil {
		if !watcher.isActive() {
			known = false
			watcher.daemon.sleep(ctx, readerCheckInterval)
			continue
		}
		begun := watcher.daemon.clock.Now()
		turned := watcher.daemon.storeTurned.next()
		err := watcher.pollUntil(ctx, turned, &version, &known)
		switch {
		case err == nil:
			pause = minRetryPause
			watcher.daemon.storeResponded()
			if watcher.onResponse != nil {
				watcher.onResponse(begun)
			}
			watcher.daemon.sleep(ctx, watcher.pause)
		case errors.Is(err, platform.ErrHistoryUnavailable):
			event.HistoryForgotten.Log("Table", watcher.table, "After", version.String())
			known = false
		case errors.Is(err, errStoreTurned):
			watcher.failed = true
		default:
			watcher.failed = true
			watcher.daemon.storeFailed(err, watcher.table, begun)
			rest := pause - watcher.daemon.clock.Since(begun)
			watcher.daemon.waitOrSleep(ctx, turned, max(rest, minRetryPause))
			pause = min(2*pause, maxRetryPause)
		}
	}
	return ctx.Err()
}

// errStoreTurned ends a call that waits while the store falls silent, or answers again.
var errStoreTurned = errors.New("the store fell silent or answers again")

// pollUntil is poll, but it fails with errStoreTurned once the channel is closed: the connection of the call may yield nothing more.
func (watcher *tableWatcher) pollUntil(ctx context.Context, turned <-chan struct{}, version *datastore.Version, known *bool) error {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-turned:
			cancel(errStoreTurned)
		case <-limited.Done():
		}
	}()
	err := watcher.poll(limited, version, known)
	if err != nil && errors.Is(context.Cause(limited), errStoreTurned) {
		return errStoreTurned
	}
	return err
}

// longestWait returns the longest time that the store may delay the response to the next call. A store that is not known to answer is
// asked for a response at once, so that its return is seen soon.
func (watcher *tableWatcher) longestWait() time.Duration {
	if watcher.failed || watcher.daemon.isStoreLost() {
		return 0
	}
	return watcher.wait
}

// isActive reports whether this daemon watches the table now.
func (watcher *tableWatcher) isActive() bool {
	if watcher.active == nil {
		return watcher.daemon.readsStore()
	}
	return watcher.active()
}

// poll makes one call and applies the result. known reports whether version is that of an earlier result; if
// not, poll reads a snapshot.
func (watcher *tableWatcher) poll(ctx context.Context, version *datastore.Version, known *bool) error {
	if !*known {
		rows, current, err := watcher.daemon.store.Snapshot(ctx, watcher.table)
		if err != nil {
			return err
		}
		restored := *version > 0 && current.Era() > version.Era()
		watcher.failed = watcher.failed || restored
		watcher.reportRecovery()
		watcher.onSnapshot(rows, current)
		if restored && watcher.onRestored != nil {
			watcher.onRestored()
		}
		*version, *known = current, true
		return nil
	}
	changes, current, err := watcher.daemon.store.Changes(ctx, watcher.table, *version, watcher.longestWait())
	if err != nil {
		return err
	}
	watcher.reportRecovery()
	watcher.onChanges(changes, max(current, *version))
	*version = max(current, *version)
	return nil
}

// reportRecovery reports that the store answers again, before its response is applied.
func (watcher *tableWatcher) reportRecovery() {
	if (watcher.failed || watcher.daemon.isStoreLost()) && watcher.onRecovery != nil {
		watcher.onRecovery()
	}
	watcher.failed = false
}

// watchConfiguration applies the operator's configuration. Rows that cannot be decoded are logged and
// skipped; the configuration is not confirmed while the newest row is such a one, or has no higher version than the one in force.
func (daemon *Daemon) watchConfiguration(ctx context.Context) error {
	skipped := false
	apply := func(row datastore.Row) {
		if row.Row != platform.ConfigurationKey {
			return
		}
		configuration, err := platform.DecodeConfiguration(row.Value)
		skipped = err != nil
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version.String())
			return
		}
		daemon.applyConfiguration(configuration, row.Value, "Store")
		skipped = !daemon.isInForce(row.Value)
	}
	watcher := &tableWatcher{
		daemon: daemon,
		table:  platform.OperatorTable,
		wait:   configurationWait,
		onSnapshot: func(rows []datastore.Row, _ datastore.Version) {
			for _, row := range rows {
				apply(row)
			}
		},
		onChanges: func(changes []platform.Change, _ datastore.Version) {
			for _, change := range changes {
				if !change.Deleted {
					apply(change.Row)
				}
			}
		},
	}
	watcher.onResponse = func(begun time.Time) {
		if !skipped {
			daemon.confirmConfiguration(begun)
		}
		watcher.wait = daemon.configurationPollWait()
	}
	return watcher.run(ctx)
}
