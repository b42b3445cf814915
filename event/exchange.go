package event

// The events of the exchange between daemons.
var (
	PeerUnreachable = define(550, "PeerUnreachable", Warning, "Calls to a daemon failed several times in a row.")
	PeerReachable   = define(551, "PeerReachable", Info, "A daemon that could not be reached answers again.")
	PeerOutlived    = define(552, "PeerOutlived", Info, "A peer remembers a later incarnation of this daemon, which therefore raised its own.")
)
