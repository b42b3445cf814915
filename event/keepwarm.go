package event

// Events of the keep-warm policy.
var (
	BookLoaded    = define(700, "BookLoaded", Info, "The arrival statistics were read from the platform.")
	BookNotLoaded = define(701, "BookNotLoaded", Warning, "The arrival statistics cannot be read; the policy uses only the arrivals that this process observed.")
	BookNotSaved  = define(702, "BookNotSaved", Warning, "The arrival statistics could not be saved; the write is retried.")
	BookDamaged   = define(703, "BookDamaged", Error, "A stored part of the arrival statistics cannot be decoded and is ignored.")
)
