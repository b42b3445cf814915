// Package brittle keeps rejections rare at replicas that fall over when they reject too many requests in a second.
//
// Such a replica says so in all its responses, with the number of rejections in a second that it bears from all daemons
// together. A Guard bounds what one daemon contributes: how many of its requests wait at the replica for their first event,
// and how soon it sends again after a rejection. Half of what the replica bears is divided among the daemons. The package does
// no I/O and takes the time as an argument.
package brittle
