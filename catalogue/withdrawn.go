package catalogue

import "slices"

// WithdrawnLimit is the number of withdrawn entries that a catalogue remembers.
const WithdrawnLimit = 4096

// withdrawals remembers the newest withdrawn entries. It is immutable.
type withdrawals struct {
	// oldest holds at most WithdrawnLimit entries, the one withdrawn first in front.
	oldest []EntryName
	// byName holds the same entries.
	byName sorted[string, EntryName]
}

// key returns the key of an entry in byName.
func (list withdrawals) key(name EntryName) string {
	return string(name.Kind) + "/" + name.Name
}

// has reports whether the entry was withdrawn and is remembered.
func (list withdrawals) has(name EntryName) bool {
	return list.byName.Get(list.key(name)) != nil
}

// with remembers the entry and forgets the oldest beyond the limit.
func (list withdrawals) with(name EntryName) withdrawals {
	list = list.without(name)
	oldest := append(slices.Clone(list.oldest), name)
	byName := list.byName.With(list.key(name), &name)
	if len(oldest) > WithdrawnLimit {
		byName = byName.Without(list.key(oldest[0]))
		oldest = oldest[1:]
	}
	return withdrawals{oldest: oldest, byName: byName}
}

// without forgets the entry.
func (list withdrawals) without(name EntryName) withdrawals {
	if !list.has(name) {
		return list
	}
	oldest := slices.DeleteFunc(slices.Clone(list.oldest), func(other EntryName) bool { return other == name })
	return withdrawals{oldest: oldest, byName: list.byName.Without(list.key(name))}
}
