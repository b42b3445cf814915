package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"

	"connectrpc.com/connect"
	"k8s.io/utils/clock"
)

// Deps is what a daemon reaches the world through. The zero value means the real clock, TCP and
// random seeds; tests give others.
type Deps struct {
	// Clock is the clock of every duty.
	Clock clock.WithTicker
	// Dial opens connections to the platform and to upstreams.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the addresses of the daemon.
	Listen func(network, address string) (net.Listener, error)
	// PeerClient sends calls to other daemons; nil means HTTP/2, with TLS if the settings have credentials.
	PeerClient connect.HTTPClient
	// Seed starts the random numbers; zero means a random seed.
	Seed uint64
}

func (outside Deps) withDefaults() Deps {
	if outside.Clock == nil {
		outside.Clock = clock.RealClock{}
	}
	if outside.Listen == nil {
		outside.Listen = net.Listen
	}
	if outside.Seed == 0 {
		outside.Seed = randomSeed()
	}
	return outside
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// random returns a source of random numbers for one duty.
func (outside Deps) random(duty uint64) *rand.Rand {
	return rand.New(rand.NewPCG(outside.Seed, duty))
}
