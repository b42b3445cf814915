package datastore

import (
	"context"
	"net"
	"time"
)

// The bounds of a Client.
const (
	defaultTimeout = 2 * time.Second
	// maxAnswer is the largest answer in bytes that the client reads.
	maxAnswer = 64 << 20
)

// ClientSettings tells where the platform is. The zero value of a field means its default.
type ClientSettings struct {
	// Address is the IP address and port of tables, objects and VM list.
	Address string
	// Timeout bounds one call; zero means 2 s.
	Timeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
