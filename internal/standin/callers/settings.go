package callers

import "time"

// Settings configures the callers.
type Settings struct {
	// Daemons are the addresses at which the daemons accept requests of callers.
	Daemons []string
	// Services are the addresses of the stand-ins of the service, whose counts are compared with the calls.
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
	// Duration is the time during which new requests are sent.
	Duration time.Duration
	// Patience is the time after which a request is not retried any more.
	Patience time.Duration
	// Sending is the time limit of one attempt.
	Sending time.Duration
}
