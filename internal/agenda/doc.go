// Package agenda provides a priority queue that holds at most one due time for
// each key and returns the keys that are due without a scan of the others.
package agenda
