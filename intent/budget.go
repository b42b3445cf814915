package intent

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/internal/openjson"
)

// Budget is what one lease holder may decide without the table service: to load the replicas of its own
// rows again, and to load replicas without a row within the shares. A model for which the holder has rows
// may get a replica without a row only up to the model's largest number of replicas.
type Budget struct {
	// Fence is the fencing number of the holder.
	Fence uint64 `json:"Fence"`
	// Sender is the process of the holder.
	Sender Sender `json:"Sender"`
	// Loads is the largest number of concurrent loads from the weight store that have no row.
	Loads int `json:"Loads"`
	// Shares are the shares in order of upstreams, at most one for each upstream.
	Shares []Share `json:"Shares"`
	// rest holds what a later build wrote there too.
	rest openjson.Rest
}

// UnmarshalJSON decodes the budget and keeps the members that it does not know.
func (budget *Budget) UnmarshalJSON(content []byte) (err error) {
	type plain Budget
	budget.rest, err = openjson.Decode(content, (*plain)(budget))
	return err
}

// MarshalJSON encodes the budget with the members that were unknown when it was decoded.
func (budget Budget) MarshalJSON() ([]byte, error) {
	type plain Budget
	return openjson.Encode(plain(budget), budget.rest)
}

// Share is the part of a budget on one upstream.
type Share struct {
	// Upstream is the name of the engine's VM.
	Upstream string `json:"Upstream"`
	// BootID is the boot of the engine for which the share is valid, if the engine checks boots.
	BootID string `json:"BootId,omitempty"`
	// Memory is the largest total memory, in bytes, of replicas without a row.
	Memory int64 `json:"Memory"`
	// Rows is the memory in bytes of the holder's own rows. If the engine rejects orders with older
	// fencing numbers, the holder may use it for other replicas once those of the rows are gone.
	Rows int64 `json:"Rows,omitempty"`
	// rest holds what a later build wrote there too.
	rest openjson.Rest
}

// UnmarshalJSON decodes the share and keeps the members that it does not know.
func (share *Share) UnmarshalJSON(content []byte) (err error) {
	type plain Share
	share.rest, err = openjson.Decode(content, (*plain)(share))
	return err
}

// MarshalJSON encodes the share with the members that were unknown when it was decoded.
func (share Share) MarshalJSON() ([]byte, error) {
	type plain Share
	return openjson.Encode(plain(share), share.rest)
}

// Share returns the share on an upstream, or false if there is none.
func (budget Budget) Share(name string) (Share, bool) {
	for _, share := range budget.Shares {
		if share.Upstream == name {
			return share, true
		}
	}
	return Share{}, false
}

// Memory returns the memory in bytes of the share on an upstream, or zero without a share.
func (budget Budget) Memory(name string) int64 {
	share, _ := budget.Share(name)
	return share.Memory
}

// Upstream returns the only upstream on which the budget permits a replica of the model, chosen by rendezvous
// hashing among the shares that are large enough, or false if none is. It costs one hash for each share.
func (budget Budget) Upstream(model string, memory int64) (string, bool) {
	best, found := "", false
	var highest uint64
	for _, share := range budget.Shares {
		if share.Memory+share.Rows < memory {
			continue
		}
		var digest xxhash.Digest
		digest.Reset()
		_, _ = digest.WriteString(model)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(share.Upstream)
		if sum := digest.Sum64(); !found || sum > highest {
			best, highest, found = share.Upstream, sum, true
		}
	}
	return best, found
}

// Equal reports whether both budgets are equal.
func (budget Budget) Equal(other Budget) bool {
	if budget.Fence != other.Fence || budget.Loads != other.Loads || budget.Sender != other.Sender || len(budget.Shares) != len(other.Shares) {
		return false
	}
	for i, share := range budget.Shares {
		if share != other.Shares[i] {
			return false
		}
	}
	return true
}
