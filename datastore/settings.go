package datastore

import (
	"context"
	"net"
	"time"
)

// The default timeout and the limit of responses of a Client.
const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes is the maximum length of a response body in bytes.
	maxResponseBytes = 64 << 20
)

// ClientSettings describes the connections to the platform. The zero value of a field means its default.
type ClientSettings struct {
	// Address is the IP address and port of the tables, the objects and the VM list.
	Address string
	// Timeout bounds one call; zero means 2 s.
	Timeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
