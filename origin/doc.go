// Package origin remembers which release of a service began each resumable stream.
//
// What two releases of a service write cannot be joined, so a stream goes on only at the release that sent its first
// event. A client may take it up with another request, at another daemon, after any of them ended. While one release
// serves, and no other did lately, nothing has to be remembered outside of the daemon. Otherwise a Registry names the
// streams that have to be recorded, and a Log divides them into pages, each of which is one row of the store. A Resolver
// finds the origin of a stream that is taken up.
//
// The package does no I/O and takes the time, or a clock, as an argument.
package origin
