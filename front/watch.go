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
	// configurationWait is how long the store may wait with an answer if the configuration does not change.
	configurationWait = 4 * time.Second
	// minRetryPause is the pause before the store is called again after a failure, at first and at most.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// tableWatcher reads one table whole and then its changes.
type tableWatcher struct {
	daemon *Daemon
	table  string
	wait   time.Duration
	pause  time.Duration
	// onSnapshot takes all rows and changed takes changes, as of the version.
	onSnapshot func(rows []datastore.Row, version uint64)
	onChanges  func(changes []platform.Change, version uint64)
	// active reports whether this daemon active the table now; nil means whether it active the store.
	active func() bool
	// onRecovery is called when the store answers again after a failure.
	onRecovery func()
	// failed states that the last call failed. Whether the store is lost for the daemon does not tell, since the follower
	// of another table may have reached it again before.
	failed bool
}

// run follows the table until the context ends.
func (follower *tableWatcher) run(ctx context.Context) error {
	version, known := uint64(0), false
	pause := minRetryPause
	for ctx.Err() == nil {
		if !follower.isActive() {
			known = false
			follower.daemon.sleep(ctx, sourceCheckInterval)
			continue
		}
		err := follower.poll(ctx, &version, &known)
		switch {
		case err == nil:
			pause = minRetryPause
			follower.daemon.storeResponded()
			follower.daemon.sleep(ctx, follower.pause)
		case errors.Is(err, platform.ErrForgotten):
			event.HistoryForgotten.Log("Table", follower.table, "After", version)
			known = false
		default:
			follower.failed = true
			follower.daemon.storeFailed(err, follower.table)
			follower.daemon.sleep(ctx, pause)
			pause = min(2*pause, maxRetryPause)
		}
	}
	return ctx.Err()
}

// isActive reports whether this daemon reads the table now.
func (follower *tableWatcher) isActive() bool {
	if follower.active == nil {
		return follower.daemon.readsStore()
	}
	return follower.active()
}

// poll makes one call.
func (follower *tableWatcher) poll(ctx context.Context, version *uint64, known *bool) error {
	if !*known {
		rows, at, err := follower.daemon.store.Snapshot(ctx, follower.table)
		if err != nil {
			return err
		}
		follower.reportRecovery()
		follower.onSnapshot(rows, at)
		*version, *known = at, true
		return nil
	}
	changes, at, err := follower.daemon.store.Changes(ctx, follower.table, *version, follower.wait)
	if err != nil {
		return err
	}
	follower.reportRecovery()
	follower.onChanges(changes, max(at, *version))
	*version = max(at, *version)
	return nil
}

// reportRecovery tells that the store answers again, before what it answered is applied.
func (follower *tableWatcher) reportRecovery() {
	if (follower.failed || follower.daemon.isStoreLost()) && follower.onRecovery != nil {
		follower.onRecovery()
	}
	follower.failed = false
}

// watchConfiguration keeps the operator's configuration in force.
func (daemon *Daemon) watchConfiguration(ctx context.Context) error {
	take := func(row datastore.Row) {
		if row.Row != platform.ConfigurationKey {
			return
		}
		configuration, err := platform.Configuration(row.Value)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version)
			return
		}
		daemon.applyConfiguration(configuration, row.Value, "Store")
	}
	table := &tableWatcher{
		daemon: daemon,
		table:  platform.OperatorTable,
		wait:   configurationWait,
		onSnapshot: func(rows []datastore.Row, _ uint64) {
			for _, row := range rows {
				take(row)
			}
		},
		onChanges: func(changes []platform.Change, _ uint64) {
			for _, change := range changes {
				if !change.Dropped {
					take(change.Row)
				}
			}
		},
	}
	return table.run(ctx)
}
