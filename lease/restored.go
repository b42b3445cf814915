package lease

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
)

// unknownFormer stands for the former holder if the record of it is lost.
const unknownFormer = "unknown"

// restored reports whether the record was read, in a row of the version, from an older copy of the store.
func (found *record) restored(version datastore.Version) bool {
	return found.Era < version.Era()
}

// former returns the name of the VM that held the lease last, as far as the record, in a row of the version, tells.
func (found *record) former(version datastore.Version) Holder {
	if found.restored(version) {
		return Holder{Name: unknownFormer}
	}
	return found.Holder
}

// minFence returns the lowest fencing number of a lease that is acquired after the record, in a row of the version, was read.
// The fences given out after an older copy of the store are unknown, but lower than those of the next era.
func (found *record) minFence(version datastore.Version) uint64 {
	if found.restored(version) {
		return version.Era() << fenceEraShift
	}
	return found.Fence
}

// fenceEraShift is the position of the era in fencing numbers after the store came back from an older copy. It leaves room
// for eras in the 53 bits that are exact in any JSON decoder.
const fenceEraShift = 32

// firstEra is the era of a table service that never came back from an older copy.
const firstEra = 1

// acquireAbsent acquires a lease without a row. If the table service came back from an older copy, the row may be lost, and its
// holder may act until the end of its term.
func (lease *Lease) acquireAbsent(ctx context.Context) error {
	era := lease.era()
	if lease.highestFence == 0 && era <= firstEra {
		return lease.acquire(ctx, datastore.Row{}, record{})
	}
	now := lease.clock.Now()
	if lease.absentSince.IsZero() || lease.absentEra != era {
		lease.absentSince, lease.absentEra = now, era
	}
	if now.Sub(lease.absentSince) < lease.settings.Term {
		return nil
	}
	return lease.acquire(ctx, datastore.Row{}, record{Holder: Holder{Name: unknownFormer}, Fence: era << fenceEraShift})
}

// eraOf returns the era in which rows with the versions were read; absent ones have the version zero.
func (lease *Lease) eraOf(version, fenceVersion datastore.Version) uint64 {
	if version == 0 && fenceVersion == 0 {
		return lease.era()
	}
	return max(version.Era(), fenceVersion.Era())
}

// continueRestored goes on with a lease whose row, which names this process, is from an older copy of the store. Within its
// term no other process can have acquired the lease in the lost time. After it, one may have: the lease is lost.
func (lease *Lease) continueRestored(ctx context.Context, row datastore.Row, found record) error {
	fence, err := lease.readFence(ctx)
	if err != nil {
		return err
	}
	if _, _, held := lease.Held(); !held || fence.value.Holder != lease.holder || fence.value.Fence != found.Fence {
		lease.setLost(found)
		return nil
	}
	lease.setVersions(row.Version, fence.version)
	return nil
}

// setVersions records the versions of the rows of a lease that this process holds. The term stays as it is.
func (lease *Lease) setVersions(version, fenceVersion datastore.Version) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.version = version
	lease.fenceVersion = fenceVersion
	lease.unclearSince = time.Time{}
	event.LeaseContinued.Log("DataCentre", lease.settings.DataCentre, "Fence", lease.current.Fence, "Version", version.String())
}
