// Package request holds the request of a caller as it walks through the daemon.
package request
