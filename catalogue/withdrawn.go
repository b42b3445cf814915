package catalogue

import (
	"cmp"
	"slices"
)

// WithdrawnLimit is the number of withdrawn entries that a catalogue keeps.
const WithdrawnLimit = 4096

// withdrawals holds the most recently withdrawn entries. It is immutable.
type withdrawals struct {
	// byAge holds at most WithdrawnLimit entries, the oldest withdrawal first.
	byAge []EntryName
	// byName holds the same entries by key.
	byName sortedList[string, EntryName]
}

// newWithdrawals returns the last WithdrawnLimit of the names, which are ordered with the oldest withdrawal first.
func newWithdrawals(names []EntryName) withdrawals {
	names = names[max(0, len(names)-WithdrawnLimit):]
	list := withdrawals{byAge: slices.Clone(names)}
	byKey := slices.SortedFunc(slices.Values(names), func(a, b EntryName) int {
		return cmp.Compare(list.key(a), list.key(b))
	})
	for _, name := range byKey {
		list.byName.append(list.key(name), &name)
	}
	return list
}

// key returns the key of an entry in byName.
func (list withdrawals) key(name EntryName) string {
	return string(name.Kind) + "/" + name.Name
}

// has reports whether the entry is in the list.
func (list withdrawals) has(name EntryName) bool {
	return list.byName.Get(list.key(name)) != nil
}

// with returns a list with the entry as the newest, without the oldest one beyond the limit.
func (list withdrawals) with(name EntryName) withdrawals {
	list = list.without(name)
	oldest := append(slices.Clone(list.byAge), name)
	byName := list.byName.With(list.key(name), &name)
	if len(oldest) > WithdrawnLimit {
		byName = byName.Without(list.key(oldest[0]))
		oldest = oldest[1:]
	}
	return withdrawals{byAge: oldest, byName: byName}
}

// without returns a list without the entry.
func (list withdrawals) without(name EntryName) withdrawals {
	if !list.has(name) {
		return list
	}
	oldest := slices.DeleteFunc(slices.Clone(list.byAge), func(other EntryName) bool { return other == name })
	return withdrawals{byAge: oldest, byName: list.byName.Without(list.key(name))}
}
