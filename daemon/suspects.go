package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/rendezvous"
)

// suspects exchanges suspects, requests that may crash upstreams, with the other daemons, and reserves the
// right to run one.
type suspects struct {
	clock    clock.Clock
	registry *quarantine.Registry
	arbiter  *quarantine.Arbiter
	node     *peer.Node
	name     string
	// address returns the peer address of a daemon, or an empty string if it is not known.
	address func(daemon string) string
	// mutex guards batch.
	mutex sync.Mutex
	// batch is the batch that still accepts suspects, or nil.
	batch *suspectBatch
}

// Import merges the suspects of another daemon.
func (suspects *suspects) Import(received []peer.Suspect) {
	if len(received) == 0 {
		return
	}
	imported := make([]quarantine.Suspect, 0, len(received))
	for _, suspect := range received {
		crashes := make([]quarantine.Crash, 0, len(suspect.Crashes))
		for _, crash := range suspect.Crashes {
			crashes = append(crashes, quarantine.Crash{Upstream: crash.Upstream, BootID: crash.BootID})
		}
		imported = append(imported, quarantine.Suspect{Fingerprint: suspect.Fingerprint, Crashes: crashes, Until: suspect.Until})
	}
	suspects.registry.Import(imported, suspects.clock.Now())
}

// export returns the suspects of this daemon, ordered by fingerprint.
func (suspects *suspects) export() []peer.Suspect {
	return toPeers(suspects.registry.Export(suspects.clock.Now()))
}

// toPeers converts suspects for the exchange with other daemons, ordered by fingerprint.
func toPeers(marked []quarantine.Suspect) []peer.Suspect {
	converted := make([]peer.Suspect, 0, len(marked))
	for _, suspect := range marked {
		crashes := make([]peer.Crash, 0, len(suspect.Crashes))
		for _, crash := range suspect.Crashes {
			crashes = append(crashes, peer.Crash{Upstream: crash.Upstream, BootID: crash.BootID})
		}
		converted = append(converted, peer.Suspect{Fingerprint: suspect.Fingerprint, Crashes: crashes, Until: suspect.Until})
	}
	slices.SortFunc(converted, func(a, b peer.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return converted
}

// arbiterOf returns the daemon that grants reservations of the upstream, chosen among the live daemons of
// the data centre, or this daemon if none is live.
func (suspects *suspects) arbiterOf(upstream string) string {
	chosen := rendezvous.Choose("arbiter/"+upstream, suspects.node.Live(), 1)
	if len(chosen) == 0 {
		return suspects.name
	}
	return chosen[0]
}

// reserveLocally reserves the upstream for the holder at the arbiter of this daemon.
func (suspects *suspects) reserveLocally(upstream, holder string) bool {
	return suspects.arbiter.Reserve(upstream, holder, suspects.clock.Now())
}

// quarantineHandler handles the calls of other daemons about suspects and reservations.
type quarantineHandler struct {
	*suspects
}

// Reserve reserves the upstream for the holder to run one suspect, or returns false if it is reserved by
// another.
func (handler quarantineHandler) Reserve(upstream, holder string) bool {
	return handler.reserveLocally(upstream, holder)
}

// Release ends the reservation of the holder.
func (handler quarantineHandler) Release(upstream, holder string) {
	handler.arbiter.Release(upstream, holder)
}

// Reserve reserves the upstream for the holder at the daemon that arbitrates it, or at the own arbiter if that
// daemon cannot be reached. It returns false if the upstream is reserved for another holder. release ends the
// reservation; it does not wait for a call to another daemon.
func (suspects *suspects) Reserve(ctx context.Context, upstream, holder string) (release func(), ok bool) {
	arbiter := suspects.arbiterOf(upstream)
	if arbiter == suspects.name {
		return func() { suspects.arbiter.Release(upstream, holder) }, suspects.reserveLocally(upstream, holder)
	}
	address := suspects.address(arbiter)
	granted, err := suspects.node.Reserve(ctx, address, upstream, holder)
	if err != nil {
		return func() { suspects.arbiter.Release(upstream, holder) }, suspects.reserveLocally(upstream, holder)
	}
	release = func() {
		go func() { _ = suspects.node.Release(context.WithoutCancel(ctx), address, upstream, holder) }()
	}
	return release, granted
}
