package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dialer returns a function that opens TCP connections which fail once sent bytes stay unacknowledged for the given
// time.
func dialer(unacknowledged time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}).DialContext
}
