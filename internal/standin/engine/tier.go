package engine

import "slices"

// tier is an LRU cache of checkpoints with a capacity in bytes.
type tier struct {
	capacity int64
	used     int64
	// entries are ordered from the least to the most recently used.
	entries []checkpoint
}

// checkpoint is one cached checkpoint with its size in bytes.
type checkpoint struct {
	name  string
	bytes int64
}

// touch reports whether the tier holds the checkpoint and, if so, makes it the most recently used.
func (t *tier) touch(name string) bool {
	index := slices.IndexFunc(t.entries, func(entry checkpoint) bool { return entry.name == name })
	if index < 0 {
		return false
	}
	entry := t.entries[index]
	t.entries = append(slices.Delete(t.entries, index, index+1), entry)
	return true
}

// put adds the checkpoint and evicts the least recently used ones until it fits. A checkpoint larger than the
// capacity is not added.
func (t *tier) put(name string, bytes int64) {
	if bytes > t.capacity || t.touch(name) {
		return
	}
	for t.used+bytes > t.capacity {
		t.used -= t.entries[0].bytes
		t.entries = slices.Delete(t.entries, 0, 1)
	}
	t.entries = append(t.entries, checkpoint{name, bytes})
	t.used += bytes
}
