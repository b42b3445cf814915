package event

// The events of the daemon itself.
var (
	DaemonStarted   = define(100, "DaemonStarted", Info, "The daemon serves callers.")
	DaemonDraining  = define(101, "DaemonDraining", Info, "The daemon fails its health check and finishes what runs.")
	DaemonStopped   = define(102, "DaemonStopped", Info, "The daemon ended; the fields tell how many requests it finished and cut.")
	DutyFailed      = define(103, "DutyFailed", Error, "A duty of the daemon ended with an error.")
	SettingsRefused = define(104, "SettingsRefused", Error, "The settings file has errors.")
)

// HandlerPanicked is the event of a panic in an HTTP handler.
var HandlerPanicked = define(105, "HandlerPanicked", Error, "An HTTP handler panicked; the request ended as Internal.")

// The events of the VM list.
var (
	VMListAway = define(110, "VMListAway", Warning, "The VM list cannot be read; the last one stays in force.")
	VMListBack = define(111, "VMListBack", Info, "The VM list can be read again.")
)

// The events of reporting demand.
var (
	DeciderLost  = define(130, "DeciderLost", Warning, "No decider of the data centre answers; cold requests wait for a successor within their deadlines.")
	DeciderFound = define(131, "DeciderFound", Info, "A decider of the data centre answers again.")
)
