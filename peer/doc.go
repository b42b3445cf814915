// Package peer is the exchange between daemons.
//
// Every daemon has a Record of itself: its number in force, load, what it
// observed of upstreams, suspects and the backlog of tenants. A Node sends
// its record to the peers that Members names and keeps theirs. A record is
// ordered by incarnation and version; differences travel where the receiver
// has an earlier version. Times never travel, only ages, so that a wrong clock
// of a peer does no harm.
//
// A Node also carries the calls between daemons: Demand and Grant to the
// decider, Changes to any peer.
//
// A silent or slow peer costs one of a fixed number of calls in flight for at
// most the timeout. No state grows beyond the number of members.
package peer
