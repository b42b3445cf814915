package catalogue

import (
	"cmp"
	"slices"

	"github.com/bronzestall/bronzestall/internal/openjson"
)

// WithdrawnLimit is the number of withdrawn entries that a catalogue keeps.
const WithdrawnLimit = 4096

// withdrawal is a withdrawn entry.
type withdrawal struct {
	EntryName
	// unknown holds the members that only a later build knows.
	unknown openjson.Rest
}

// UnmarshalJSON decodes the withdrawal and keeps the members that it does not know.
func (item *withdrawal) UnmarshalJSON(content []byte) (err error) {
	item.unknown, err = openjson.Decode(content, &item.EntryName)
	return err
}

// MarshalJSON encodes the withdrawal with the members that were unknown when it was decoded.
func (item withdrawal) MarshalJSON() ([]byte, error) {
	return openjson.Encode(item.EntryName, item.unknown)
}

// withdrawals holds the most recently withdrawn entries. It is immutable.
type withdrawals struct {
	// byAge holds at most WithdrawnLimit entries, the oldest withdrawal first.
	byAge []withdrawal
	// byName holds the same entries by key.
	byName sortedList[string, EntryName]
}

// newWithdrawals returns the last WithdrawnLimit of the items, which are ordered with the oldest withdrawal first.
func newWithdrawals(items []withdrawal) withdrawals {
	items = items[max(0, len(items)-WithdrawnLimit):]
	list := withdrawals{byAge: slices.Clone(items)}
	byKey := slices.SortedFunc(slices.Values(items), func(a, b withdrawal) int {
		return cmp.Compare(list.key(a.EntryName), list.key(b.EntryName))
	})
	for _, item := range byKey {
		list.byName.append(list.key(item.EntryName), &item.EntryName)
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
	oldest := append(slices.Clone(list.byAge), withdrawal{EntryName: name})
	byName := list.byName.With(list.key(name), &name)
	if len(oldest) > WithdrawnLimit {
		byName = byName.Without(list.key(oldest[0].EntryName))
		oldest = oldest[1:]
	}
	return withdrawals{byAge: oldest, byName: byName}
}

// without returns a list without the entry.
func (list withdrawals) without(name EntryName) withdrawals {
	if !list.has(name) {
		return list
	}
	oldest := slices.DeleteFunc(slices.Clone(list.byAge), func(other withdrawal) bool { return other.EntryName == name })
	return withdrawals{byAge: oldest, byName: list.byName.Without(list.key(name))}
}
