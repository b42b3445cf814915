package engine

import "slices"

// tier is one cache of checkpoints that drops the least recently used.
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

// touch reports whether the tier has the checkpoint and makes it the most recently used.
func (t *tier) touch(name string) bool {
	at := slices.IndexFunc(t.entries, func(entry checkpoint) bool { return entry.name == name })
	if at < 0 {
		return false
	}
	entry := t.entries[at]
	t.entries = append(slices.Delete(t.entries, at, at+1), entry)
	return true
}

// put adds the checkpoint and drops others until it fits.
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
