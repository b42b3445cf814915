package event

// The events of leases.
var (
	LeaseTaken    = define(240, "LeaseTaken", Info, "The daemon decides for the data centre under the fencing number.")
	LeaseLost     = define(241, "LeaseLost", Info, "Another daemon decides for the data centre.")
	LeaseReleased = define(246, "LeaseReleased", Info, "The daemon gave up the lease of the data centre.")
)
