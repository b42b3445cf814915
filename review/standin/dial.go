package main

import (
	"context"
	"net"
	"time"
)

// dialWithin returns a dialer that gives up after the time.
func dialWithin(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext
}
