package callers

import "time"

// Settings describe the callers.
type Settings struct {
	// Daemons are the callers' addresses of the daemons.
	Daemons []string
	// Services are the addresses of the service's stand-ins, whose counts judge the calls.
	Services []string
	// Key is the key of the tenant.
	Key string
	// Model is the model field of chats.
	Model string
	// Path is the path of calls.
	Path string
	// Rate is the number of chats per second, and of calls per second.
	Rate float64
	// Tokens is the number of tokens of each chat.
	Tokens int
	// Duration is the time during which requests begin.
	Duration time.Duration
	// Patience is the time after which a caller gives up.
	Patience time.Duration
	// Sending bounds one sending.
	Sending time.Duration
}
