// Package roster keeps the replicas that a daemon may send requests to.
//
// It is fed with snapshots and changes of the table in which replicas describe
// themselves. A row that disappears ends its replica at once, except after an
// outage of the table: rows that lapsed meanwhile come back within a grace
// time if their replicas live, and until then the replicas stay in use. Pure.
package roster
