// Package permit enforces the shared limits of the weight store.
//
// A Quota is the part of one data centre in a limit that is divided among the
// data centres in one row of the table service. Each slot belongs to exactly one
// data centre at any time. A data centre that lacks slots writes how many it
// needs; another with spare slots transfers them in a transaction under its
// lease, after their loads have ended. Slots do not expire: a load may last
// longer than any term. The slots of a data centre without daemons are returned
// by the daemon that takes over its lease. A data centre always keeps its floor,
// so it can load even while it is partitioned from the table service.
//
// A Bucket is a token bucket that turns the slots of a data centre into a rate of
// starts. An Allocator divides the adapter transfers of a data centre among its
// daemons.
package permit
