// Package notice keeps what replicas say of themselves in their answers.
//
// A replica says that it leaves, or that it wants no request for a while. Both
// words hold for the run of the replica that said them, whatever older news
// tell of it, and only for the daemon that got the answer unless it is told
// others. Pure: the package does no I/O and takes the time as an argument.
package notice
