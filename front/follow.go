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
	// lostPause is the pause before the store is called again after a failure, at first and at most.
	lostPause    = 50 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// follower reads one table whole and then its changes.
type follower struct {
	daemon *Daemon
	table  string
	wait   time.Duration
	gap    time.Duration
	// whole takes all rows and changed takes changes, as of the version.
	whole   func(rows []datastore.Row, version uint64)
	changed func(changes []platform.Change, version uint64)
	// reads reports whether this daemon reads the table now; nil means whether it reads the store.
	reads func() bool
	// regained is called when the store answers again after a failure.
	regained func()
	// failed states that the last call failed. Whether the store is lost for the daemon does not tell, since the follower
	// of another table may have reached it again before.
	failed bool
}

// run follows the table until the context ends.
func (follower *follower) run(ctx context.Context) error {
	version, known := uint64(0), false
	pause := lostPause
	for ctx.Err() == nil {
		if !follower.isRead() {
			known = false
			follower.daemon.sleep(ctx, sourceStep)
			continue
		}
		err := follower.step(ctx, &version, &known)
		switch {
		case err == nil:
			pause = lostPause
			follower.daemon.hearStore()
			follower.daemon.sleep(ctx, follower.gap)
		case errors.Is(err, platform.ErrHistoryUnavailable):
			event.HistoryForgotten.Log("Table", follower.table, "After", version)
			known = false
		default:
			follower.failed = true
			follower.daemon.missStore(err, follower.table)
			follower.daemon.sleep(ctx, pause)
			pause = min(2*pause, longestPause)
		}
	}
	return ctx.Err()
}

// isRead reports whether this daemon reads the table now.
func (follower *follower) isRead() bool {
	if follower.reads == nil {
		return follower.daemon.readsStore()
	}
	return follower.reads()
}

// step makes one call.
func (follower *follower) step(ctx context.Context, version *uint64, known *bool) error {
	if !*known {
		rows, at, err := follower.daemon.store.Snapshot(ctx, follower.table)
		if err != nil {
			return err
		}
		follower.noteRegained()
		follower.whole(rows, at)
		*version, *known = at, true
		return nil
	}
	changes, at, err := follower.daemon.store.Changes(ctx, follower.table, *version, follower.wait)
	if err != nil {
		return err
	}
	follower.noteRegained()
	follower.changed(changes, max(at, *version))
	*version = max(at, *version)
	return nil
}

// noteRegained tells that the store answers again, before what it answered is applied.
func (follower *follower) noteRegained() {
	if (follower.failed || follower.daemon.isStoreLost()) && follower.regained != nil {
		follower.regained()
	}
	follower.failed = false
}

// followConfiguration keeps the operator's configuration in force.
func (daemon *Daemon) followConfiguration(ctx context.Context) error {
	take := func(row datastore.Row) {
		if row.Row != platform.ConfigurationKey {
			return
		}
		configuration, err := platform.DecodeConfiguration(row.Value)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version)
			return
		}
		daemon.configure(configuration, row.Value, "Store")
	}
	table := &follower{
		daemon: daemon,
		table:  platform.OperatorTable,
		wait:   configurationWait,
		whole: func(rows []datastore.Row, _ uint64) {
			for _, row := range rows {
				take(row)
			}
		},
		changed: func(changes []platform.Change, _ uint64) {
			for _, change := range changes {
				if !change.Deleted {
					take(change.Row)
				}
			}
		},
	}
	return table.run(ctx)
}
