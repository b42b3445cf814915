package event

// The events of keeping models warm.
var (
	BookRestored = define(700, "BookRestored", Info, "The decider read what its predecessors learnt of arrivals.")
	BookDamaged  = define(701, "BookDamaged", Warning, "A part of what was learnt of arrivals cannot be read and is learnt anew.")
)
