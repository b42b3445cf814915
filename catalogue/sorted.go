package catalogue

import (
	"cmp"
	"iter"
	"slices"
)

// sortedList is an immutable list of pointers sorted by a unique key. With and Without copy the keys or pointers, 8
// bytes per pointer, and share the entries. The zero value is empty.
type sortedList[K cmp.Ordered, T any] struct {
	// keys and items have the same length and order. Neither is modified after it is shared.
	keys  []K
	items []*T
}

// Get returns the entry with the key, or nil, by binary search.
func (list sortedList[K, T]) Get(key K) *T {
	index, ok := slices.BinarySearch(list.keys, key)
	if !ok {
		return nil
	}
	return list.items[index]
}

// With returns a list in which the key has the entry.
func (list sortedList[K, T]) With(key K, item *T) sortedList[K, T] {
	index, ok := slices.BinarySearch(list.keys, key)
	if ok {
		items := slices.Clone(list.items)
		items[index] = item
		return sortedList[K, T]{keys: list.keys, items: items}
	}
	return sortedList[K, T]{keys: cloneAndInsert(list.keys, index, key), items: cloneAndInsert(list.items, index, item)}
}

// Without returns a list without the key.
func (list sortedList[K, T]) Without(key K) sortedList[K, T] {
	index, ok := slices.BinarySearch(list.keys, key)
	if !ok {
		return list
	}
	keys := slices.Delete(slices.Clone(list.keys), index, index+1)
	items := slices.Delete(slices.Clone(list.items), index, index+1)
	return sortedList[K, T]{keys: keys, items: items}
}

// append adds an entry at the end in place. It reports false, and adds nothing, if the key is not larger than all
// others. The list must not be shared yet.
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

// All iterates over the keys and entries in order of the keys.
func (list sortedList[K, T]) All() iter.Seq2[K, *T] {
	return func(yield func(K, *T) bool) {
		for i, key := range list.keys {
			if !yield(key, list.items[i]) {
				return
			}
		}
	}
}

// cloneAndInsert returns a copy of the list with the item inserted at the index.
func cloneAndInsert[T any](list []T, index int, item T) []T {
	result := make([]T, 0, len(list)+1)
	result = append(result, list[:index]...)
	result = append(result, item)
	return append(result, list[index:]...)
}
