package event

// The events of placement, loads and permits.
var (
	DeciderRecovered = define(400, "DeciderRecovered", Info, "The decider has read the open intents and budgets of its predecessors.")
	DeciderFailed    = define(401, "DeciderFailed", Warning, "A step of the decider failed and is repeated.")
	LoadDecided      = define(402, "LoadDecided", Info, "A load of a model was decided.")
	UnloadDecided    = define(403, "UnloadDecided", Info, "An unload of a replica was decided.")
	RoleDecided      = define(404, "RoleDecided", Info, "A change of the role of an engine was decided.")
	OrderRefused     = define(405, "OrderRefused", Warning, "An engine refused an order; the fields tell why.")
	OrderUnanswered  = define(406, "OrderUnanswered", Warning, "An order got no answer and stays charged until it is resolved.")
	ReplicaAdopted   = define(407, "ReplicaAdopted", Info, "A replica without a row was found on an engine and counts as decided.")
	OutageBegan      = define(408, "OutageBegan", Warning, "The table service is away; loads go on within the budget.")
	OutageEnded      = define(409, "OutageEnded", Info, "The table service is back; what was loaded within the budget is recorded.")
	UpstreamsUnseen  = define(412, "UpstreamsUnseen", Info, "Requests wait for a model that no known engine can hold, since engines did not answer the new decider yet or none is listed.")
	LoadFailed       = define(410, "LoadFailed", Warning, "A load was accepted and the replica is not there.")
	BudgetLeft       = define(411, "BudgetLeft", Warning, "The last rows of a planned stop could not be written; the successor closes the budget.")
)
