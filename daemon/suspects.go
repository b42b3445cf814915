package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/quarantine"
)

// suspects speaks to the other daemons of the data centre about requests that crash upstreams.
type suspects struct {
	clock   clock.Clock
	book    *quarantine.Registry
	arbiter *quarantine.Arbiter
	node    *peer.Node
	name    string
	// address returns the address of a daemon for other daemons.
	address func(daemon string) string
	// mutex guards round.
	mutex sync.Mutex
	// round is the round of telling that still takes suspects, or nil.
	round *suspectRound
}

// Import merges suspects of another daemon.
func (suspects *suspects) Import(heard []peer.Suspect) {
	if len(heard) == 0 {
		return
	}
	imported := make([]quarantine.Suspect, 0, len(heard))
	for _, suspect := range heard {
		crashes := make([]quarantine.Crash, 0, len(suspect.Crashes))
		for _, crash := range suspect.Crashes {
			crashes = append(crashes, quarantine.Crash{Upstream: crash.Upstream, BootID: crash.BootID})
		}
		imported = append(imported, quarantine.Suspect{Fingerprint: suspect.Fingerprint, Crashes: crashes, Until: suspect.Until})
	}
	suspects.book.Import(imported, suspects.clock.Now())
}

// export returns the suspects of this daemon, ordered by fingerprint.
func (suspects *suspects) export() []peer.Suspect {
	return toPeers(suspects.book.Export(suspects.clock.Now()))
}

func toPeers(known []quarantine.Suspect) []peer.Suspect {
	told := make([]peer.Suspect, 0, len(known))
	for _, suspect := range known {
		crashes := make([]peer.Crash, 0, len(suspect.Crashes))
		for _, crash := range suspect.Crashes {
			crashes = append(crashes, peer.Crash{Upstream: crash.Upstream, BootID: crash.BootID})
		}
		told = append(told, peer.Suspect{Fingerprint: suspect.Fingerprint, Crashes: crashes, Until: suspect.Until})
	}
	slices.SortFunc(told, func(a, b peer.Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return told
}

// arbiterOf returns the daemon that arbitrates the upstream.
func (suspects *suspects) arbiterOf(upstream string) string {
	chosen := peer.Assigned("arbiter/"+upstream, suspects.node.Live(), 1)
	if len(chosen) == 0 {
		return suspects.name
	}
	return chosen[0]
}

// reserveHere gives the holder the right on an upstream that this daemon arbitrates.
func (suspects *suspects) reserveHere(upstream, holder string) bool {
	return suspects.arbiter.Reserve(upstream, holder, suspects.clock.Now())
}

// quarantineCalls answers the calls of other daemons.
type quarantineCalls struct {
	*suspects
}

// Reserve gives the holder the right to run one suspect on the upstream, or reports false.
func (calls quarantineCalls) Reserve(upstream, holder string) bool {
	return calls.reserveHere(upstream, holder)
}

// Release gives the right of the holder back.
func (calls quarantineCalls) Release(upstream, holder string) {
	calls.arbiter.Release(upstream, holder)
}

// Reserve asks the daemon that arbitrates the upstream, and decides alone if it cannot be reached.
func (suspects *suspects) Reserve(ctx context.Context, upstream, holder string) (release func(), ok bool) {
	arbiter := suspects.arbiterOf(upstream)
	if arbiter == suspects.name {
		return func() { suspects.arbiter.Release(upstream, holder) }, suspects.reserveHere(upstream, holder)
	}
	address := suspects.address(arbiter)
	granted, err := suspects.node.Reserve(ctx, address, upstream, holder)
	if err != nil {
		return func() { suspects.arbiter.Release(upstream, holder) }, suspects.reserveHere(upstream, holder)
	}
	release = func() {
		go func() { _ = suspects.node.Release(context.WithoutCancel(ctx), address, upstream, holder) }()
	}
	return release, granted
}
