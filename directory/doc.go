// Package directory records which replicas can serve a request.
//
// It combines the rows that replicas write about themselves with the placements that the lease holder
// announces, which are newer, and notifies requests that wait for a model of changes.
package directory
