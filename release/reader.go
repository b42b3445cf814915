package release

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/datastore"
)

// maxScanRows is the largest number of history rows in one scan, which counts as one read.
const maxScanRows = 100

// maxReplayedDifferences is the largest number of differences that are applied one by one if a newer snapshot exists.
// Beyond it the snapshot is read instead.
const maxReplayedDifferences = 16

// reader reads entries, notes and snapshots from the platform.
type reader struct {
	tables  datastore.Tables
	objects datastore.Objects
}

// head returns the entry in force and the version of its row. Both are zero before the first note.
func (reader reader) head(ctx context.Context) (Entry, datastore.Version, error) {
	row, err := reader.tables.Read(ctx, inForceKey)
	if errors.Is(err, datastore.ErrNotFound) {
		return Entry{}, 0, nil
	}
	if err != nil {
		return Entry{}, 0, trace.Wrap(err)
	}
	entry, err := decodeEntry(row)
	return entry, row.Version, err
}

// entryAt returns the entry in the row with the key.
func (reader reader) entryAt(ctx context.Context, key datastore.Key) (Entry, error) {
	row, err := reader.tables.Read(ctx, key)
	if err != nil {
		return Entry{}, trace.Wrap(err)
	}
	return decodeEntry(row)
}

// entriesBetween returns the entries with numbers above after and up to upTo, at most maxScanRows of them and at least
// one. It fails if the history has a gap.
func (reader reader) entriesBetween(ctx context.Context, after, upTo uint64) ([]Entry, error) {
	limit := int(min(upTo-after, maxScanRows))
	rows, err := reader.tables.Scan(ctx, table, prefixHistory, historyKey(after).Row, limit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	entries := make([]Entry, len(rows))
	for i, row := range rows {
		if entries[i], err = decodeEntry(row); err != nil {
			return nil, err
		}
		if entries[i].Number != after+uint64(i)+1 {
			return nil, trace.BadParameter("history lacks number %d", after+uint64(i)+1)
		}
	}
	if len(entries) == 0 {
		return nil, trace.NotFound("history lacks number %d", after+1)
	}
	return entries, nil
}

// advance returns the state of an entry, starting from a state that is not newer, and the differences that were
// applied. It starts from a snapshot if the state is too far behind or a difference is damaged.
func (reader reader) advance(ctx context.Context, from InForce, to Entry) (InForce, []Difference, error) {
	newer := to.Snapshot.Number > from.Number
	if newer && to.Number-from.Number > maxReplayedDifferences {
		return reader.fromSnapshot(ctx, to)
	}
	next, differences, err := reader.applyEntries(ctx, from, to)
	var damage *DamageError
	if newer && errors.As(err, &damage) {
		return reader.fromSnapshot(ctx, to)
	}
	return next, differences, err
}

// fromSnapshot returns the state of an entry, starting from its snapshot, and the differences that were applied.
func (reader reader) fromSnapshot(ctx context.Context, to Entry) (InForce, []Difference, error) {
	from, err := reader.snapshot(ctx, to.Snapshot)
	if err != nil {
		return InForce{}, nil, err
	}
	return reader.applyEntries(ctx, from, to)
}

// applyEntries applies the differences up to an entry one by one, and returns the state and the differences.
func (reader reader) applyEntries(ctx context.Context, from InForce, to Entry) (InForce, []Difference, error) {
	var differences []Difference
	for from.Number < to.Number {
		entries, err := reader.entriesBetween(ctx, from.Number, to.Number)
		if err != nil {
			return InForce{}, nil, err
		}
		for _, entry := range entries {
			difference, err := reader.difference(ctx, entry)
			if err != nil {
				return InForce{}, nil, err
			}
			if from, err = from.applyDifference(difference); err != nil {
				return InForce{}, nil, &DamageError{Object: entry.Body, Number: entry.Number, Reason: err.Error()}
			}
			differences = append(differences, difference)
		}
	}
	return from, differences, nil
}

// difference reads the difference of an entry from the object store.
func (reader reader) difference(ctx context.Context, entry Entry) (Difference, error) {
	content, err := reader.object(ctx, entry.Body, prefixBody, entry.Number)
	return Difference{Number: entry.Number, Body: content}, err
}

// snapshot reads a state from the object store.
func (reader reader) snapshot(ctx context.Context, snapshot Snapshot) (InForce, error) {
	if snapshot.Number == 0 {
		return InForce{}, nil
	}
	content, err := reader.object(ctx, snapshot.Object, prefixSnapshot, snapshot.Number)
	if err != nil {
		return InForce{}, err
	}
	var whole catalogue.Catalogue
	if err := json.Unmarshal(content, &whole); err != nil {
		return InForce{}, &DamageError{Object: snapshot.Object, Number: snapshot.Number, Reason: err.Error()}
	}
	return InForce{Number: snapshot.Number, Catalogue: whole}, nil
}

// object returns the content of an object. It fails with a *DamageError if the object is missing or differs from the
// hash in its name.
func (reader reader) object(ctx context.Context, name, prefix string, number uint64) ([]byte, error) {
	content, err := reader.objects.Get(ctx, name)
	if errors.Is(err, datastore.ErrNotFound) {
		return nil, &DamageError{Object: name, Number: number, Reason: "is missing"}
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if objectName(prefix, content) != name {
		return nil, &DamageError{Object: name, Number: number, Reason: "differs from its hash"}
	}
	return content, nil
}

// stateAt returns the state at a number up to the one in force.
func (reader reader) stateAt(ctx context.Context, number uint64) (InForce, error) {
	if number == 0 {
		return InForce{}, nil
	}
	entry, err := reader.entryAt(ctx, historyKey(number))
	if err != nil {
		return InForce{}, err
	}
	state, _, err := reader.fromSnapshot(ctx, entry)
	return state, err
}
