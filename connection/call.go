package connection

import (
	"net/http"
	"time"
)

// Call is one request to an upstream.
type Call struct {
	// Key names what is expected behind the address; connections are shared only under one key.
	Key string
	// Address is the IP address and port.
	Address string
	// Method, Target and Host make up the head with Header; Target is path and query.
	Method, Target, Host string
	// Header holds the headers except those on connection and length.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Matches reports whether a head answers this call. Other answers are skipped; nil accepts all.
	Matches func(header http.Header) bool
	// MaxUnused is how long a connection may have been unused before the call; zero means no limit. An
	// upstream may have dropped a connection that was unused for longer, and resets it upon the next byte.
	MaxUnused time.Duration
	// Allowed reports, once there is a connection, whether the call may still be sent; nil means that it may.
	Allowed func() bool
	// ForceNew opens a connection even if an unused one is kept.
	ForceNew bool
}
