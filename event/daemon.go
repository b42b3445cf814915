package event

// Events of the daemon itself.
var (
	DaemonStarted   = define(100, "DaemonStarted", Info, "The daemon accepts requests.")
	DaemonDraining  = define(101, "DaemonDraining", Info, "The daemon fails its health check and completes the requests in flight.")
	DaemonStopped   = define(102, "DaemonStopped", Info, "The daemon stopped; the fields state how many requests it completed and how many it cut off.")
	DutyFailed      = define(103, "DutyFailed", Error, "A background task of the daemon ended with an error.")
	SettingsRefused = define(104, "SettingsRefused", Error, "The settings file has errors.")
)

// HandlerPanicked is the event of a panic in an HTTP handler.
var HandlerPanicked = define(105, "HandlerPanicked", Error, "An HTTP handler panicked; the request ended as Internal.")

// SettingIgnored is the event of a settings file that was written for a later build.
var SettingIgnored = define(106, "SettingIgnored", Warning, "The settings file has a key that this build does not know; it is ignored.")

// Events of the VM list.
var (
	VMListAway = define(110, "VMListAway", Warning, "The VM list cannot be read; the last one read remains in use.")
	VMListBack = define(111, "VMListBack", Info, "The VM list can be read again.")
)

// Events of demand reports.
var (
	DeciderLost  = define(130, "DeciderLost", Warning, "No decider of the data centre responds; requests for models that are not loaded wait for a successor within their deadlines.")
	DeciderFound = define(131, "DeciderFound", Info, "A decider of the data centre responds again.")
)
