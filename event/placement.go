package event

// Events of placement, loads and permits.
var (
	DeciderRecovered = define(400, "DeciderRecovered", Info, "The decider has read the open intents and budgets of its predecessors.")
	DeciderFailed    = define(401, "DeciderFailed", Warning, "A step of the decider failed and will be repeated.")
	LoadDecided      = define(402, "LoadDecided", Info, "The decider decided to load a model.")
	UnloadDecided    = define(403, "UnloadDecided", Info, "The decider decided to unload a replica.")
	RoleDecided      = define(404, "RoleDecided", Info, "The decider decided to change the role of an engine.")
	OrderRefused     = define(405, "OrderRefused", Warning, "An engine refused an order; the fields state the reason.")
	OrderUnanswered  = define(406, "OrderUnanswered", Warning, "An order got no response; its memory remains charged until its outcome is known.")
	ReplicaAdopted   = define(407, "ReplicaAdopted", Info, "A replica without a row was found on an engine and is treated as decided.")
	OutageBegan      = define(408, "OutageBegan", Warning, "The table service is unavailable; loads continue within the budget.")
	OutageEnded      = define(409, "OutageEnded", Info, "The table service is available again; loads made within the budget are recorded.")
	UpstreamsUnseen  = define(412, "UpstreamsUnseen", Info, "Requests wait for a model that no known engine can hold, because engines have not yet responded to the new decider or none is listed.")
	LoadFailed       = define(410, "LoadFailed", Warning, "A load was accepted, but the replica does not exist.")
	BudgetLeft       = define(411, "BudgetLeft", Warning, "The last rows of a planned shutdown could not be written; the successor closes the budget.")
)
