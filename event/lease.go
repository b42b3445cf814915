package event

// Events of leases.
var (
	LeaseTaken     = define(240, "LeaseTaken", Info, "The daemon acquired the lease and decides for the data centre under the fencing number.")
	LeaseLost      = define(241, "LeaseLost", Info, "Another daemon has the lease and decides for the data centre.")
	LeaseContinued = define(247, "LeaseContinued", Info, "The table service came back from an older copy, and the daemon goes on with the lease, which it held all the while.")
	LeaseReleased  = define(246, "LeaseReleased", Info, "The daemon released the lease of the data centre.")
)
