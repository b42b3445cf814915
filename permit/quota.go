package permit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/openjson"
)

// Table holds one row for each limit.
const Table = "Permits"

// The names of the limits.
const (
	// Loads is the limit of concurrent loads from the weight store.
	Loads = "Loads"
	// Adapters is the limit of adapter transfers in flight.
	Adapters = "Adapters"
)

// share is the part of one data centre in a limit.
type share struct {
	// DataCentre names the data centre.
	DataCentre string `json:"DataCentre"`
	// Slots is the number of slots that belong to the data centre. The sum over the row is the limit.
	Slots int `json:"Slots"`
	// Want is the number of further slots that the data centre could use now.
	Want int `json:"Want,omitempty"`
	// rest holds what a later build wrote there too.
	rest openjson.Rest
}

// UnmarshalJSON decodes the share and keeps the members that it does not know.
func (part *share) UnmarshalJSON(content []byte) (err error) {
	type plain share
	part.rest, err = openjson.Decode(content, (*plain)(part))
	return err
}

// MarshalJSON encodes the share with the members that were unknown when it was decoded.
func (part share) MarshalJSON() ([]byte, error) {
	type plain share
	return openjson.Encode(plain(part), part.rest)
}

// Settings describes one limit and the data centres that share it.
type Settings struct {
	// Name is the name of the limit and of its row.
	Name string
	// Total is the limit over all data centres.
	Total int
	// DataCentres are the names of the data centres, in the same order everywhere: when the limit is divided evenly,
	// the first ones get the remainder.
	DataCentres []string
	// DataCentre is the data centre of this quota.
	DataCentre string
}

// Quota is the share of one data centre in one limit. It is not safe for concurrent use.
type Quota struct {
	tables   datastore.Tables
	settings Settings
	// slots is the share as last read or written; known states that it was read or written.
	slots int
	known bool
	// unclearVersion is the version on which a write with an unclear result is conditional, or zero. The write
	// may still take effect as long as the row has this version.
	unclearVersion datastore.Version
	// unclearCreate states that a write with an unclear result was to create the row.
	unclearCreate bool
}

// NewQuota returns a quota whose share is unknown until Sync. It panics without data centres.
func NewQuota(tables datastore.Tables, settings Settings) *Quota {
	if len(settings.DataCentres) == 0 {
		panic("permit: no data centres")
	}
	return &Quota{tables: tables, settings: settings}
}

// Slots returns the number of slots of the data centre, or zero before the share is known.
func (quota *Quota) Slots() int {
	return quota.slots
}

// IsKnown reports whether the share was read since the start or the last unclear write.
func (quota *Quota) IsKnown() bool {
	return quota.known && !quota.isUnclear()
}

// Floor returns the number of slots that a data centre never transfers to others.
func (quota *Quota) Floor() int {
	return quota.settings.Total / len(quota.settings.DataCentres)
}

// Usage is the demand of a data centre for slots.
type Usage struct {
	// Busy is the number of slots whose loads are not known to have ended.
	Busy int
	// Waiting is the number of loads that wait for a slot.
	Waiting int
}

// Sync reads the row, transfers spare slots to data centres that need them, and writes how many
// slots this one needs. The guard makes the write fail once another process decides for the data
// centre. It costs one read, and one write if something changes.
func (quota *Quota) Sync(ctx context.Context, guard datastore.Write, use Usage) error {
	key := datastore.Key{Table: Table, Row: quota.settings.Name}
	row, err := quota.tables.Read(ctx, key)
	if err != nil && !errors.Is(err, datastore.ErrNotFound) {
		return trace.Wrap(err)
	}
	shares, err := quota.decode(row)
	if err != nil {
		return err
	}
	next := quota.next(shares, use)
	pending := quota.isUnclear() && row.Version == quota.unclearVersion
	if !pending {
		quota.setShare(shares)
	}
	if !pending && row.Version != 0 && slices.Equal(shares, next) {
		return nil
	}
	// Transferred slots are subtracted before the write is sent, since its result may be unclear.
	quota.slots = min(quota.slots, quota.ownShare(next).Slots)
	content, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	_, err = quota.tables.Commit(ctx, []datastore.Write{
		guard,
		{Key: key, Check: true, IfVersion: row.Version, Value: content},
	})
	switch {
	case err == nil:
		quota.setShare(next)
	case errors.Is(err, datastore.ErrConflict), errors.Is(err, datastore.ErrUnavailable):
		if !pending {
			quota.setShare(shares)
		}
	default:
		quota.unclearVersion = row.Version
		quota.unclearCreate = row.Version == 0
	}
	return trace.Wrap(err)
}

func (quota *Quota) isUnclear() bool {
	return quota.unclearVersion != 0 || quota.unclearCreate
}

func (quota *Quota) setShare(shares []share) {
	quota.slots = quota.ownShare(shares).Slots
	quota.known = true
	quota.unclearVersion = 0
	quota.unclearCreate = false
}

func (quota *Quota) ownShare(shares []share) share {
	for _, part := range shares {
		if part.DataCentre == quota.settings.DataCentre {
			return part
		}
	}
	return share{DataCentre: quota.settings.DataCentre}
}

// decode returns the shares in the row, or the even division of the limit if there is no row.
func (quota *Quota) decode(row datastore.Row) ([]share, error) {
	var shares []share
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &shares); err != nil {
			return nil, trace.Wrap(err, "row %s of table %s", row.Row, row.Table)
		}
		return shares, nil
	}
	count := len(quota.settings.DataCentres)
	for i, name := range quota.settings.DataCentres {
		part := share{DataCentre: name, Slots: quota.settings.Total / count}
		if i < quota.settings.Total%count {
			part.Slots++
		}
		shares = append(shares, part)
	}
	return shares, nil
}

// next returns the shares after this data centre has transferred its spare slots and recorded its need.
func (quota *Quota) next(shares []share, use Usage) []share {
	next := slices.Clone(shares)
	own := slices.IndexFunc(next, func(part share) bool { return part.DataCentre == quota.settings.DataCentre })
	if own < 0 {
		next = append(next, share{DataCentre: quota.settings.DataCentre})
		own = len(next) - 1
	}
	next[own].Want = max(0, use.Busy+use.Waiting-next[own].Slots)
	spare := next[own].Slots - max(use.Busy+use.Waiting, quota.Floor())
	for ; spare > 0; spare-- {
		to := receiver(next, own)
		if to < 0 {
			break
		}
		next[own].Slots--
		next[to].Slots++
		next[to].Want--
	}
	return next
}

// receiver returns the index of the data centre that gets the next spare slot, the one with the fewest slots among
// those that need one, or -1 if there is none.
func receiver(shares []share, except int) int {
	best := -1
	for i, part := range shares {
		if i == except || part.Want == 0 {
			continue
		}
		if best < 0 || part.Slots < shares[best].Slots {
			best = i
		}
	}
	return best
}
