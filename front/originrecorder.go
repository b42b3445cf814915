package front

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/origin"
)

const (
	// recordIntervalPerDaemon, times the number of daemons, is the shortest time between two writes of one daemon to the table
	// of origins: it bounds the writes of all daemons together to 100 a second, but for streams that broke off.
	recordIntervalPerDaemon = 10 * time.Millisecond
	// originExpiryInterval is the interval of checking for expired rows of the table.
	originExpiryInterval = 30 * time.Second
	// maxOriginDeletions is the largest number of rows that are deleted at once.
	maxOriginDeletions = 50
)

// originRecorder records the origins of the streams that this process began.
type originRecorder struct {
	daemon *Daemon
	// process identifies the process in the keys of its rows.
	process string
	log     origin.Log
	// unwritten holds the pages whose rows lack streams, by number, and batches the batches with streams on them.
	unwritten map[int]origin.Page
	batches   []origin.Batch
	// versions holds the versions of the rows by number.
	versions map[int]datastore.Version
	// next is the earliest time of the next write, in Unix nanoseconds.
	next atomic.Int64
	// era is that of the store for which the streams were recorded.
	era uint64
}

func newOriginRecorder(daemon *Daemon) *originRecorder {
	return &originRecorder{daemon: daemon, process: incarnation(), unwritten: map[int]origin.Page{}, versions: map[int]datastore.Version{}}
}

// recordOrigins records the origins of streams while a service has several releases, and all of them again after the store
// came back from an older copy.
func (daemon *Daemon) recordOrigins(ctx context.Context) error {
	recorder := daemon.originRecorder
	for ctx.Err() == nil {
		rose := daemon.eras.Rose()
		recorder.observeEra()
		var retry <-chan time.Time
		if len(recorder.unwritten) > 0 {
			retry = daemon.clock.After(recordRetryPause)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rose:
			continue
		case <-daemon.origins.Wake():
			daemon.waitOrSleep(ctx, daemon.origins.Hurry(), recorder.pause())
		case <-retry:
		}
		recorder.take()
		recorder.write(ctx)
	}
	return ctx.Err()
}

// observeEra makes all streams be recorded again if the store came back from an older copy.
func (recorder *originRecorder) observeEra() {
	era := recorder.daemon.eras.Era()
	if recorder.era > 0 && era > recorder.era {
		recorder.daemon.origins.RecordAgain(recorder.daemon.clock.Now())
	}
	recorder.era = era
}

// pause returns the time until the next write.
func (recorder *originRecorder) pause() time.Duration {
	return max(time.Unix(0, recorder.next.Load()).Sub(recorder.daemon.clock.Now()), 0)
}

// take adds the streams to record to the pages.
func (recorder *originRecorder) take() {
	batch := recorder.daemon.origins.TakeUnrecorded()
	if len(batch.Streams) == 0 {
		return
	}
	recorder.batches = append(recorder.batches, batch)
	for _, page := range recorder.log.Add(batch.Streams, recorder.daemon.clock.Now()) {
		recorder.unwritten[page.Number] = page
	}
}

// write writes the pages that lack streams. It returns at the first failure.
func (recorder *originRecorder) write(ctx context.Context) {
	for _, number := range slices.Sorted(maps.Keys(recorder.unwritten)) {
		page := recorder.unwritten[number]
		if err := recorder.writePage(ctx, page); err != nil {
			event.OriginsUnrecorded.LogError(err, "Streams", len(page.Streams), "Pages", len(recorder.unwritten))
			// The streams wait for maxRecordWait only.
			recorder.batches = nil
			return
		}
		delete(recorder.unwritten, number)
	}
	for _, batch := range recorder.batches {
		batch.Recorded()
	}
	recorder.batches = nil
	interval := time.Duration(recorder.daemon.daemonCount.Load()) * recordIntervalPerDaemon
	recorder.next.Store(recorder.daemon.clock.Now().Add(interval).UnixNano())
}

// writePage writes the row of the page on the condition that nothing wrote it since, so that an earlier write that is carried out
// late changes nothing.
func (recorder *originRecorder) writePage(ctx context.Context, page origin.Page) error {
	daemon := recorder.daemon
	value, err := json.Marshal(newOriginPage(page, daemon.origins.Witnessed(daemon.clock.Now())))
	if err != nil {
		return trace.Wrap(err)
	}
	key := originKey(daemon.settings.Name, recorder.process, page.Number)
	versions, err := daemon.rowStore.Commit(ctx, []datastore.Write{{Key: key, Check: true, IfVersion: recorder.versions[page.Number], Value: value}})
	if err != nil {
		recorder.readVersion(ctx, key, page.Number)
		return err
	}
	if len(versions) > 0 {
		recorder.versions[page.Number] = versions[0]
	}
	daemon.originRows.track(key.Row, recorder.versions[page.Number], daemon.clock.Now())
	return nil
}

// readVersion reads the version of the row of a page after a write that failed, which may have been carried out.
func (recorder *originRecorder) readVersion(ctx context.Context, key datastore.Key, number int) {
	row, err := recorder.daemon.rowStore.Read(ctx, key)
	switch {
	case err == nil:
		recorder.versions[number] = row.Version
	case errors.Is(err, datastore.ErrNotFound):
		recorder.versions[number] = 0
	}
}

// expireOrigins deletes the rows that have not changed for twice the retention time, while there are any. Only the first
// daemon by name does so.
func (daemon *Daemon) expireOrigins(ctx context.Context) error {
	for ctx.Err() == nil {
		daemon.sleep(ctx, originExpiryInterval)
		if daemon.daemonIndex.Load() != 0 || daemon.originRows.count() == 0 {
			continue
		}
		// A failed read leaves the rows for the next time.
		if _, err := daemon.readOrigins(ctx); err == nil {
			daemon.deleteExpiredOrigins(ctx)
		}
	}
	return ctx.Err()
}

// deleteExpiredOrigins deletes expired rows, until one cannot be deleted.
func (daemon *Daemon) deleteExpiredOrigins(ctx context.Context) {
	deleted := 0
	for row, version := range daemon.originRows.expired(2*origin.Retention, daemon.clock.Now()) {
		if deleted++; deleted > maxOriginDeletions || daemon.deleteRow(ctx, daemon.originRows, row, version) != nil {
			return
		}
	}
}
