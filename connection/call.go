package connection

import "net/http"

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
	// Mine reports whether a head answers this call. Other answers are skipped; nil accepts all.
	Mine func(header http.Header) bool
	// Fresh opens a connection even if an unused one is kept.
	Fresh bool
}
