package platform

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
)

// tables holds the rows of all tables. The mutex of the server guards it.
type tables struct {
	rows map[datastore.Key]datastore.Row
	// version is the highest version assigned so far; it never decreases.
	version datastore.Version
}

// conditionMet reports whether the condition of the write is met.
func (t *tables) conditionMet(write datastore.Write) bool {
	return !write.Check || t.rows[write.Key].Version == write.IfVersion
}

// commit applies all writes and returns their versions. It applies none and returns false if a condition is not met.
func (t *tables) commit(writes []datastore.Write) ([]datastore.Version, bool) {
	for _, write := range writes {
		if !t.conditionMet(write) {
			return nil, false
		}
	}
	t.version++
	versions := make([]datastore.Version, 0, len(writes))
	for _, write := range writes {
		versions = append(versions, t.apply(write))
	}
	return versions, true
}

func (t *tables) apply(write datastore.Write) datastore.Version {
	switch {
	case write.Only:
		return t.rows[write.Key].Version
	case write.Delete:
		delete(t.rows, write.Key)
	default:
		t.rows[write.Key] = datastore.Row{Key: write.Key, Version: t.version, Value: write.Value}
	}
	return t.version
}

func (t *tables) scan(table, prefix, after string, limit int) []datastore.Row {
	found := []datastore.Row{}
	for key, row := range t.rows {
		if key.Table == table && strings.HasPrefix(key.Row, prefix) && key.Row > after {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b datastore.Row) int { return cmp.Compare(a.Row, b.Row) })
	return found[:min(limit, len(found))]
}
