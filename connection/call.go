package connection

import (
	"net/http"
	"time"
)

// Call is one request to an upstream.
type Call struct {
	// Key names the process that is expected at the address; connections are shared only under one key.
	Key string
	// Address is the IP address and port.
	Address string
	// Method, Target, Host and Header make up the head; Target is path and query.
	Method, Target, Host string
	// Header holds all headers but those on connection and length.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Matches reports whether the head of a response belongs to this call. reused states that other calls were made on the
	// connection before, so that the response may be a late one to them. Other responses are skipped; nil accepts all.
	Matches func(header http.Header, reused bool) bool
	// MaxUnused is how long a connection may have been unused before the call; zero means no limit. An upstream may
	// have dropped a connection that was unused for longer, and resets it upon the next byte.
	MaxUnused time.Duration
	// Allowed reports, once there is a connection, whether the call may still be sent; nil means that it may.
	Allowed func() bool
	// MayRest permits a connection that was unused for longer than the IdleTimeout, up to the RestTimeout. If the upstream has dropped it
	// without a notice, the call fails, although nothing of it may have run.
	MayRest bool
	// ForceNew opens a new connection even if an unused one is kept.
	ForceNew bool
}
