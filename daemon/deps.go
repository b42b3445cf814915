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

// Deps are the parts of the environment that tests replace. The zero value uses the real clock, TCP and a
// random seed.
type Deps struct {
	// Clock is the clock of every task.
	Clock clock.WithTicker
	// Dial opens connections to the platform and to upstreams; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the listeners of the daemon; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// PeerClient sends calls to other daemons; nil means HTTP/2, with TLS if the settings have credentials.
	PeerClient connect.HTTPClient
	// Seed is the seed of all random numbers; zero means a random seed.
	Seed uint64
}

// withDefaults returns the dependencies with defaults for zero fields.
func (deps Deps) withDefaults() Deps {
	if deps.Clock == nil {
		deps.Clock = clock.RealClock{}
	}
	if deps.Listen == nil {
		deps.Listen = net.Listen
	}
	if deps.Seed == 0 {
		deps.Seed = randomSeed()
	}
	return deps
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	return binary.LittleEndian.Uint64(seed[:])
}

// random returns the source of random numbers of one stream.
func (deps Deps) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(deps.Seed, stream))
}
