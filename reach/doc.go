// Package reach records which replicas a daemon reaches, to tell that the daemon is cut off from that replicas are dead or pause.
//
// Reachability belongs to a pair of daemon and replica, and a path is proved by bytes of a response only: that a connection was opened
// says no more than that something accepts connections. The package does no I/O, takes the time as an argument, and tells its
// caller which replicas to probe and which to ask other daemons about.
package reach
