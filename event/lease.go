package event

// The events of leases.
var (
	LeaseTaken = define(240, "LeaseTaken", Info, "The daemon decides for the data centre under the fencing number.")
	LeaseLost  = define(241, "LeaseLost", Info, "The daemon no longer decides for the data centre.")
)
