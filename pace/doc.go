// Package pace derives the speed of replicas, the chance that their streams pause for too long, and how many requests replicas that
// start or recover may have in flight.
//
// Daemons count what they observe in Sums. An Estimator compares the replicas of one service with each other: the one of a daemon
// knows what that daemon observed, and the one of the lease holder what all did. Observations lose half of their weight within
// halfLife. Differences within the noise of the observations are reported as none. The package does no I/O and takes the time as an
// argument.
package pace
