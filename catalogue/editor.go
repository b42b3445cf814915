package catalogue

import "slices"

// listEditor applies several changes to one list by copy on write. The first change of the keys copies them, and
// likewise for the entries; later changes modify the copies. The original list is never modified. The list may be
// shared only after the last change.
type listEditor[T any] struct {
	list sortedList[string, T]
	// ownsKeys and ownsItems are true if the slice is a copy that belongs to this editor alone.
	ownsKeys, ownsItems bool
}

// Get returns the entry, or nil if there is none.
func (editor *listEditor[T]) Get(key string) *T {
	return editor.list.Get(key)
}

// Put adds the entry, or replaces the one with its key.
func (editor *listEditor[T]) Put(key string, item *T) {
	index, found := slices.BinarySearch(editor.list.keys, key)
	editor.ownItems()
	if found {
		editor.list.items[index] = item
		return
	}
	editor.ownKeys()
	editor.list.keys = slices.Insert(editor.list.keys, index, key)
	editor.list.items = slices.Insert(editor.list.items, index, item)
}

// Remove removes the entry with the key, if there is one.
func (editor *listEditor[T]) Remove(key string) {
	index, found := slices.BinarySearch(editor.list.keys, key)
	if !found {
		return
	}
	editor.ownItems()
	editor.ownKeys()
	editor.list.keys = slices.Delete(editor.list.keys, index, index+1)
	editor.list.items = slices.Delete(editor.list.items, index, index+1)
}

// ownItems copies the entries unless they are a copy already.
func (editor *listEditor[T]) ownItems() {
	if !editor.ownsItems {
		editor.list.items = slices.Clone(editor.list.items)
		editor.ownsItems = true
	}
}

// ownKeys copies the keys unless they are a copy already.
func (editor *listEditor[T]) ownKeys() {
	if !editor.ownsKeys {
		editor.list.keys = slices.Clone(editor.list.keys)
		editor.ownsKeys = true
	}
}
