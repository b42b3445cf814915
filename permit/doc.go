// Package permit holds the shared limits of the weight store.
//
// A Division keeps one limit divided among the data centres in one row of the
// table service. Each slot belongs to exactly one data centre at any time. A
// data centre that lacks slots writes how many it wants; another with slots to
// spare gives them by a transaction under its lease, after their loads have
// ended. Slots never lapse by time: a load may outlive any term. The slots of
// a data centre without daemons are given back by the daemon that takes over its
// lease. A data centre always keeps its floor, so one that is cut off can load.
//
// A Bucket turns the slots of a data centre into a rate of starts. Grants
// divides the adapter transfers of a data centre among its daemons.
package permit
