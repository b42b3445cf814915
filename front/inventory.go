package front

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/openjson"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/roster"
)

const (
	// inventoryTable holds one row, which lists the releases of all services that serve or did lately.
	inventoryTable = "Releases"
	inventoryRow   = "Lately"
	// inventoryInterval is the interval of checking whether the row lacks something.
	inventoryInterval = 500 * time.Millisecond
	// inventoryPausePerDaemon, times the ordinal of a daemon, is how long it waits before it reads a row that seems to lack something: the
	// first one writes it for all.
	inventoryPausePerDaemon = 10 * time.Millisecond
	// inventoryRetryPause is the pause after a failure.
	inventoryRetryPause = 4 * time.Second
)

// inventoryContent is the value of the row.
type inventoryContent struct {
	// Era is the last era of the store in which replicas had the time to write their rows again.
	Era uint64
	// Releases lists the releases that serve or did lately.
	Releases origin.Releases
}

// inventoryRecorder keeps the inventory of releases in the store. It is not safe for concurrent use.
type inventoryRecorder struct {
	daemon *Daemon
	// inventory is what the row held when it was last read or written.
	inventory origin.Inventory
}

// recordInventory lists the releases that serve, so that the store names them to daemons that start when no other is left.
func (daemon *Daemon) recordInventory(ctx context.Context) error {
	recorder := &inventoryRecorder{daemon: daemon}
	ticker := daemon.clock.NewTicker(inventoryInterval)
	defer ticker.Stop()
	rose := daemon.eras.Rose()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rose:
			// The store came back from an older copy, which may lack releases.
			rose = daemon.eras.Rose()
			daemon.origins.LoseInventory()
			continue
		case <-ticker.C():
		}
		if !recorder.isDue() {
			continue
		}
		daemon.sleep(ctx, time.Duration(daemon.daemonIndex.Load())*inventoryPausePerDaemon)
		if err := recorder.update(ctx); err != nil && ctx.Err() == nil {
			event.ReleasesUnlisted.LogError(err, "Releases", daemon.origins.Witnessed(daemon.clock.Now()))
			daemon.sleep(ctx, inventoryRetryPause)
		}
	}
}

// isDue reports whether the row seems to lack something. Only the first daemon by name looks for releases that are listed for too long.
func (recorder *inventoryRecorder) isDue() bool {
	daemon := recorder.daemon
	if !daemon.origins.IsComplete() || daemon.daemonCount.Load() == 0 {
		return false
	}
	era, now := daemon.eras.Era(), daemon.clock.Now()
	if daemon.origins.LacksListing(now) {
		return true
	}
	_, changed := daemon.origins.NextInventory(recorder.inventory, era, now)
	return changed && daemon.daemonIndex.Load() == 0
}

// update reads the row, and replaces it if it lacks something. If another daemon writes it meanwhile, it stays as that one wrote it.
func (recorder *inventoryRecorder) update(ctx context.Context) error {
	daemon := recorder.daemon
	era := daemon.eras.Era()
	row, err := readInventoryRow(ctx, daemon.rowStore)
	if err != nil {
		return err
	}
	inventory, rest := decodeInventory(row)
	recorder.set(inventory)
	next, changed := daemon.origins.NextInventory(inventory, era, daemon.clock.Now())
	if !changed {
		return nil
	}
	value, err := openjson.Encode(inventoryContent(next), rest)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = daemon.rowStore.Commit(ctx, []datastore.Write{{Key: inventoryKey(), Check: true, IfVersion: row.Version, Value: value}})
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	recorder.set(next)
	event.ReleasesListed.Log("Releases", next.Releases, "Era", next.Era)
	return nil
}

// set records what the row holds.
func (recorder *inventoryRecorder) set(inventory origin.Inventory) {
	recorder.inventory = inventory
	recorder.daemon.origins.SetInventory(inventory, recorder.daemon.clock.Now())
}

// inventoryKey returns the key of the row.
func inventoryKey() datastore.Key { return datastore.Key{Table: inventoryTable, Row: inventoryRow} }

// readInventoryRow reads the row from the store. It returns the zero value if there is none.
func readInventoryRow(ctx context.Context, store mesh.RowStore) (datastore.Row, error) {
	row, err := store.Read(ctx, inventoryKey())
	if errors.Is(err, datastore.ErrNotFound) {
		return datastore.Row{}, nil
	}
	return row, err
}

// decodeInventory decodes the row, which has the zero value if there is none. A row that cannot be decoded is logged, and replaced as
// an empty one. The rest is what a later build wrote there.
func decodeInventory(row datastore.Row) (origin.Inventory, openjson.Rest) {
	if len(row.Value) == 0 {
		return origin.Inventory{}, ""
	}
	var content inventoryContent
	rest, err := openjson.Decode(row.Value, &content)
	if err != nil {
		event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version.String())
		return origin.Inventory{}, ""
	}
	return origin.Inventory(content), rest
}

// readInventory reads the inventory when the daemon learns what is recorded. If the store came back from an older copy and no daemon has
// seen since that replicas wrote their rows again, this one, which did not see when it came back, doubts that it knows all releases.
func (daemon *Daemon) readInventory(ctx context.Context) error {
	rose := daemon.eras.Rose()
	row, err := readInventoryRow(ctx, daemon.store)
	if err != nil {
		return err
	}
	inventory, _ := decodeInventory(row)
	now := daemon.clock.Now()
	daemon.origins.SetInventory(inventory, now)
	if inventory.Era < daemon.eras.Era() {
		daemon.origins.Doubt(now.Add(roster.RewriteTime))
	}
	select {
	case <-rose:
		daemon.origins.LoseInventory()
		return trace.CompareFailed("the store came back from an older copy while the inventory was read")
	default:
		return nil
	}
}
