package front

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// A request that crashes replicas comes again at any daemon. Daemons tell each other of each crash with their greetings; a
// request that crashed several replicas is also recorded in the platform's store, for daemons that start later or that
// others do not reach.
const (
	// crashLimit is the number of crashed replicas from which a request is refused.
	crashLimit = 3
	// suspectTable holds one row for each request that crashed several replicas, under its fingerprint in hexadecimal.
	suspectTable = "Suspects"
	// suspectsTold is the number of suspects in one greeting.
	suspectsTold = 32
	// suspectWait is how long the store may wait with an answer if the table of suspects does not change.
	suspectWait = 10 * time.Second
	// recordPause is the pause between two records, and recordRetry that after a failed one.
	recordPause = 50 * time.Millisecond
	recordRetry = 400 * time.Millisecond
	// mostUnrecorded is the largest number of suspects that wait to be recorded; others are dropped.
	mostUnrecorded = 64
	// sweepEvery is the interval of looking for records that nobody needs any more.
	sweepEvery = time.Minute
)

// record is a row of the table of suspects as last seen.
type record struct {
	version uint64
	seen    time.Time
}

// shareSuspects returns what the next greeting tells of suspects.
func (daemon *Daemon) shareSuspects() []quarantine.Suspect {
	return daemon.suspects.Share(suspectsTold, daemon.clock.Now())
}

// hearSuspects takes what other daemons tell of suspects.
func (daemon *Daemon) hearSuspects(suspects []quarantine.Suspect) {
	daemon.importSuspects(suspects, "Daemon")
}

func (daemon *Daemon) importSuspects(suspects []quarantine.Suspect, source string) {
	for _, suspect := range daemon.suspects.Import(suspects, daemon.clock.Now()) {
		event.SuspectLearnt.Log("Fingerprint", suspect.Fingerprint, "Crashes", len(suspect.Crashes), "Source", source)
	}
}

// noteEnd counts the end of a run of a replica, unless it was announced, against the requests that got no word of it.
func (daemon *Daemon) noteEnd(replica *topology.Replica) {
	if replica.Draining || daemon.notices.Leaving(replica.Incarnation) {
		return
	}
	for _, fingerprint := range daemon.suspects.ReplicaEnded(relay.CrashOf(replica.Incarnation), daemon.clock.Now()) {
		event.EndCounted.Log("Fingerprint", fingerprint, "Replica", replica.ID, "Born", replica.Started)
	}
}

// followSuspects keeps the requests that are recorded in the store. Each daemon reads them once, and those that read the
// store's tables follow them.
func (daemon *Daemon) followSuspects(ctx context.Context) error {
	read := false
	take := func(row datastore.Row) {
		suspect, err := decodeSuspect(row, daemon.clock.Now())
		if err != nil {
			event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version)
			return
		}
		daemon.noteRecord(row.Row, row.Version)
		daemon.importSuspects([]quarantine.Suspect{suspect}, "Store")
	}
	table := &follower{
		daemon: daemon,
		table:  suspectTable,
		wait:   suspectWait,
		reads:  func() bool { return !read || daemon.readsStore() },
		whole: func(rows []datastore.Row, _ uint64) {
			read = true
			for _, row := range rows {
				take(row)
			}
		},
		changed: func(changes []platform.Change, _ uint64) {
			for _, change := range changes {
				if change.Dropped {
					daemon.dropRecord(change.Row.Row)
				} else {
					take(change.Row)
				}
			}
		},
	}
	return table.run(ctx)
}

// decodeSuspect decodes a row of the table of suspects. The row does not tell when it was written, since clocks of daemons
// differ: the suspect is remembered for the whole time from now on.
func decodeSuspect(row datastore.Row, now time.Time) (quarantine.Suspect, error) {
	fingerprint, err := strconv.ParseUint(row.Row, 16, 64)
	if err != nil {
		return quarantine.Suspect{}, trace.BadParameter("the key is no fingerprint")
	}
	var content struct {
		Crashes []quarantine.Crash
	}
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return quarantine.Suspect{}, trace.Wrap(err)
	}
	return quarantine.Suspect{Fingerprint: fingerprint, Crashes: content.Crashes, Until: now.Add(quarantine.Retention)}, nil
}

// recordSuspects records the requests that crashed several replicas, as soon as this daemon counts another crash.
func (daemon *Daemon) recordSuspects(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	waiting := map[uint64]bool{}
	for {
		var retry <-chan time.Time
		if len(waiting) > 0 {
			retry = daemon.clock.After(recordRetry)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			daemon.sweepRecords(ctx)
		case <-daemon.suspects.Pending():
		case <-retry:
		}
		for _, suspect := range daemon.suspects.Unrecorded() {
			if len(waiting) >= mostUnrecorded {
				event.SuspectUnrecorded.Log("Fingerprint", suspect.Fingerprint, "Waiting", len(waiting), "Dropped", true)
				continue
			}
			waiting[suspect.Fingerprint] = true
		}
		daemon.recordAll(ctx, waiting)
	}
}

// recordAll records the suspects that wait, and takes those away that are recorded. It ends with the first failure.
func (daemon *Daemon) recordAll(ctx context.Context, waiting map[uint64]bool) {
	for fingerprint := range waiting {
		if err := daemon.record(ctx, fingerprint); err != nil {
			event.SuspectUnrecorded.LogError(err, "Fingerprint", fingerprint, "Waiting", len(waiting))
			return
		}
		delete(waiting, fingerprint)
		daemon.sleep(ctx, recordPause)
	}
}

// record joins what this daemon knows of the suspect with the row of the store.
func (daemon *Daemon) record(ctx context.Context, fingerprint uint64) error {
	key := datastore.Key{Table: suspectTable, Row: strconv.FormatUint(fingerprint, 16)}
	row, err := daemon.rows.Read(ctx, key)
	if err != nil && !errors.Is(err, datastore.ErrNotFound) {
		return err
	}
	recorded := 0
	if err == nil {
		// A row that cannot be decoded is replaced.
		if suspect, failure := decodeSuspect(row, daemon.clock.Now()); failure == nil {
			daemon.importSuspects([]quarantine.Suspect{suspect}, "Store")
			recorded = len(suspect.Crashes)
		}
	}
	suspect, known := daemon.suspects.Suspect(fingerprint, daemon.clock.Now())
	if !known || len(suspect.Crashes) <= recorded {
		return nil
	}
	value, err := json.Marshal(struct{ Crashes []quarantine.Crash }{suspect.Crashes})
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := daemon.rows.Commit(ctx, []datastore.Write{{Key: key, Check: true, IfVersion: row.Version, Value: value}}); err != nil {
		return err
	}
	event.SuspectRecorded.Log("Fingerprint", fingerprint, "Crashes", len(suspect.Crashes))
	return nil
}

// noteRecord remembers a row of the table of suspects.
func (daemon *Daemon) noteRecord(row string, version uint64) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.records[row].version < version {
		daemon.records[row] = record{version, daemon.clock.Now()}
	}
}

func (daemon *Daemon) dropRecord(row string) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	delete(daemon.records, row)
}

// sweepRecords removes the rows that did not change for so long that all daemons forgot them. The first of the
// daemons does it for all.
func (daemon *Daemon) sweepRecords(ctx context.Context) {
	if daemon.seat.Load() != 0 {
		return
	}
	for row, version := range daemon.staleRecords() {
		key := datastore.Key{Table: suspectTable, Row: row}
		_, err := daemon.rows.Commit(ctx, []datastore.Write{{Key: key, Check: true, IfVersion: version, Delete: true}})
		if err == nil || errors.Is(err, datastore.ErrConflict) {
			daemon.dropRecord(row)
		}
	}
}

// staleRecords returns the rows to remove with their versions.
func (daemon *Daemon) staleRecords() map[string]uint64 {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	stale := map[string]uint64{}
	for row, known := range daemon.records {
		if daemon.clock.Since(known.seen) >= quarantine.Retention {
			stale[row] = known.version
		}
	}
	return stale
}
