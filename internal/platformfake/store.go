package platformfake

import (
	"bytes"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
)

// store holds the tables and the objects. It is not safe for concurrent use.
type store struct {
	// rows maps table name and row name to the row.
	rows map[string]map[string]datastore.Row
	// objects maps names to contents.
	objects map[string][]byte
	// revision increases with each row written, so that no version is used twice.
	revision datastore.Version
}

func newStore() *store {
	return &store{rows: map[string]map[string]datastore.Row{}, objects: map[string][]byte{}}
}

func (store *store) read(key datastore.Key) (datastore.Row, error) {
	row, ok := store.rows[key.Table][key.Row]
	if !ok {
		return datastore.Row{}, datastore.ErrNotFound
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

func (store *store) scan(table, prefix, after string, limit int) []datastore.Row {
	var names []string
	for name := range store.rows[table] {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	names = names[:min(limit, len(names))]
	rows := make([]datastore.Row, 0, len(names))
	for _, name := range names {
		row, _ := store.read(datastore.Key{Table: table, Row: name})
		rows = append(rows, row)
	}
	return rows
}

func (store *store) commit(writes []datastore.Write) ([]datastore.Version, error) {
	for _, write := range writes {
		version := store.rows[write.Table][write.Row].Version
		if write.Check && version != write.IfVersion {
			return nil, datastore.ErrConflict
		}
	}
	versions := make([]datastore.Version, len(writes))
	for i, write := range writes {
		versions[i] = store.apply(write)
	}
	return versions, nil
}

func (store *store) apply(write datastore.Write) datastore.Version {
	if write.Only {
		return store.rows[write.Table][write.Row].Version
	}
	store.revision++
	if write.Delete {
		delete(store.rows[write.Table], write.Row)
		return store.revision
	}
	if store.rows[write.Table] == nil {
		store.rows[write.Table] = map[string]datastore.Row{}
	}
	row := datastore.Row{Key: write.Key, Version: store.revision, Value: bytes.Clone(write.Value)}
	store.rows[write.Table][write.Row] = row
	return store.revision
}

func (store *store) get(name string) ([]byte, error) {
	content, ok := store.objects[name]
	if !ok {
		return nil, datastore.ErrNotFound
	}
	return bytes.Clone(content), nil
}

func (store *store) put(name string, content []byte) error {
	old, ok := store.objects[name]
	if ok && !bytes.Equal(old, content) {
		return datastore.ErrConflict
	}
	store.objects[name] = bytes.Clone(content)
	return nil
}
