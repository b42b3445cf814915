// Package reach records which replicas a daemon reaches, to tell that the daemon is cut off from that replicas are dead.
//
// Reachability belongs to a pair of daemon and replica: whatever one daemon concludes from its own links says nothing about
// the replicas for others. The package does no I/O and takes the time as an argument.
package reach
