package catalogue

import (
	"cmp"
	"iter"
	"slices"
)

// sortedList is an immutable list of pointers ordered by a unique key. A changed
// list shares every entry that did not change: With and Without copy the
// pointers, 8 bytes for each entry. The zero value is empty.
type sortedList[K cmp.Ordered, T any] struct {
	// keys and items have the same length and order; neither is written after it was shared.
	keys  []K
	items []*T
}

// Get returns the entry, or nil, by binary search.
func (list sortedList[K, T]) Get(key K) *T {
	at, ok := slices.BinarySearch(list.keys, key)
	if !ok {
		return nil
	}
	return list.items[at]
}

// With returns a list that holds the entry under the key.
func (list sortedList[K, T]) With(key K, item *T) sortedList[K, T] {
	at, ok := slices.BinarySearch(list.keys, key)
	if ok {
		items := slices.Clone(list.items)
		items[at] = item
		return sortedList[K, T]{keys: list.keys, items: items}
	}
	return sortedList[K, T]{keys: cloneAndInsert(list.keys, at, key), items: cloneAndInsert(list.items, at, item)}
}

// Without returns a list that lacks the key.
func (list sortedList[K, T]) Without(key K) sortedList[K, T] {
	at, ok := slices.BinarySearch(list.keys, key)
	if !ok {
		return list
	}
	keys := slices.Delete(slices.Clone(list.keys), at, at+1)
	items := slices.Delete(slices.Clone(list.items), at, at+1)
	return sortedList[K, T]{keys: keys, items: items}
}

// append adds an entry at the end and reports whether its key is the largest. The
// list must not have been shared yet.
func (list *sortedList[K, T]) append(key K, item *T) bool {
	if last := len(list.keys) - 1; last >= 0 && list.keys[last] >= key {
		return false
	}
	list.keys = append(list.keys, key)
	list.items = append(list.items, item)
	return true
}

// Len returns the number of entries.
func (list sortedList[K, T]) Len() int {
	return len(list.keys)
}

// All returns the entries in order of their keys.
func (list sortedList[K, T]) All() iter.Seq2[K, *T] {
	return func(yield func(K, *T) bool) {
		for i, key := range list.keys {
			if !yield(key, list.items[i]) {
				return
			}
		}
	}
}

func cloneAndInsert[T any](list []T, at int, item T) []T {
	longer := make([]T, 0, len(list)+1)
	longer = append(longer, list[:at]...)
	longer = append(longer, item)
	return append(longer, list[at:]...)
}
