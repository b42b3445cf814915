package event

// Events of the exchange between daemons.
var (
	PeerUnreachable = define(550, "PeerUnreachable", Warning, "Calls to a daemon failed several times in a row.")
	PeerReachable   = define(551, "PeerReachable", Info, "A daemon that could not be reached responds again.")
	PeerOutlived    = define(552, "PeerOutlived", Info, "A peer has a record of a later incarnation of this daemon, so this daemon increased its own incarnation. Logged at most every minute; again and again while two live daemons have one name.")
)
