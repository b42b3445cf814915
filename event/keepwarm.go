package event

// The events of the keep-warm policy.
var (
	BookLoaded    = define(700, "BookLoaded", Info, "What was learnt of arrivals was read from the platform.")
	BookNotLoaded = define(701, "BookNotLoaded", Warning, "What was learnt of arrivals cannot be read; the policy goes on with what it saw itself.")
	BookNotSaved  = define(702, "BookNotSaved", Warning, "What was learnt of arrivals cannot be saved now and will be saved later.")
	BookDamaged   = define(703, "BookDamaged", Error, "A stored part of what was learnt cannot be read and is left out.")
)
