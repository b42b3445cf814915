// Package peer implements the state exchange and the calls between daemons.
//
// Each daemon has a Record of itself: the number in force, its load, the observed states of upstreams,
// suspects and the backlogs of tenants. A Node sends its record to the daemons that Members lists and stores
// theirs. Records are ordered by incarnation and version. A receiver that has an earlier version is sent only
// the difference. Messages carry ages rather than absolute times, so that a wrong clock has no effect on other
// daemons.
//
// A Node also makes and serves the other calls between daemons: ReportDemand and RequestGrant to the decider,
// ShareSuspects, Reserve and Release to the quarantine, InForce and Changes to any peer.
//
// An unresponsive peer occupies one of a fixed number of calls in flight until the timeout. Memory is bounded
// by the number of members.
package peer
