package service

import (
	"context"
	"net"
	"time"
)

// defaultMaxBody is the default of ClientSettings.MaxBody, in bytes.
const defaultMaxBody = 16 << 20

// ClientSettings describes the connections to one service. The zero value of a field means its default.
type ClientSettings struct {
	// Address is the IP address and port of the service.
	Address string
	// DialTimeout limits the time to open a connection; zero means 1 s.
	DialTimeout time.Duration
	// Connections is the maximum number of concurrent calls; zero means 4096.
	Connections int
	// MaxBody is the maximum length of a response body in bytes; zero means 16 MiB.
	MaxBody int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
