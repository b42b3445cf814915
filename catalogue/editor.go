package catalogue

import "slices"

// listEditor makes one list out of another by several changes. The first change of
// the keys and the first change of the entries copy them; later ones work in
// place. The list that it began with stays as it is. Only the list that List
// returns at the end may be shared.
type listEditor[T any] struct {
	list sortedList[string, T]
	// ownsKeys and ownsItems state that the slices belong to this editor alone.
	ownsKeys, ownsItems bool
}

// Get returns the entry, or nil.
func (editor *listEditor[T]) Get(key string) *T {
	return editor.list.Get(key)
}

// Put adds the entry or replaces the one under its key.
func (editor *listEditor[T]) Put(key string, item *T) {
	at, found := slices.BinarySearch(editor.list.keys, key)
	editor.ownItems()
	if found {
		editor.list.items[at] = item
		return
	}
	editor.ownKeys()
	editor.list.keys = slices.Insert(editor.list.keys, at, key)
	editor.list.items = slices.Insert(editor.list.items, at, item)
}

// Remove removes the entry if there is one.
func (editor *listEditor[T]) Remove(key string) {
	at, found := slices.BinarySearch(editor.list.keys, key)
	if !found {
		return
	}
	editor.ownItems()
	editor.ownKeys()
	editor.list.keys = slices.Delete(editor.list.keys, at, at+1)
	editor.list.items = slices.Delete(editor.list.items, at, at+1)
}

func (editor *listEditor[T]) ownItems() {
	if !editor.ownsItems {
		editor.list.items = slices.Clone(editor.list.items)
		editor.ownsItems = true
	}
}

func (editor *listEditor[T]) ownKeys() {
	if !editor.ownsKeys {
		editor.list.keys = slices.Clone(editor.list.keys)
		editor.ownsKeys = true
	}
}
