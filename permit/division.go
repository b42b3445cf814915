package permit

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// Table holds one row for each limit.
const Table = "Permits"

// The names of the limits.
const (
	// Loads is the limit of loads from the weight store at once.
	Loads = "Loads"
	// Adapters is the limit of adapter transfers in flight.
	Adapters = "Adapters"
)

// share is the part of one data centre.
type share struct {
	// DataCentre names the data centre.
	DataCentre string `json:"DataCentre"`
	// Slots is the number of slots that belong to it. The sum over the row is the limit.
	Slots int `json:"Slots"`
	// Want is the number of further slots that it could use now.
	Want int `json:"Want,omitempty"`
}

// Settings tells one limit and the data centres that share it.
type Settings struct {
	// Name is the name of the limit and of its row.
	Name string
	// Total is the limit over all data centres.
	Total int
	// DataCentres names them in an order that is the same everywhere; the first ones get the remainder.
	DataCentres []string
	// DataCentre is the one of this division.
	DataCentre string
}

// Division is the share of one data centre in one limit. It belongs to one goroutine.
type Quota struct {
	tables   datastore.Tables
	settings Settings
	// slots is the share as last read or written; known tells whether it was.
	slots int
	known bool
	// unclear is the version that a write without a known result depends on, or zero. That write
	// may still take effect as long as the row has this version.
	unclear uint64
	// created states that the write without a known result was to create the row.
	created bool
}

// NewDivision returns a division whose share is unknown until Sync. It panics without data centres.
func NewQuota(tables datastore.Tables, settings Settings) *Quota {
	if len(settings.DataCentres) == 0 {
		panic("permit: no data centres")
	}
	return &Quota{tables: tables, settings: settings}
}

// Slots returns the number of slots of the data centre; zero as long as it is unknown.
func (division *Quota) Slots() int {
	return division.slots
}

// Known reports whether the share was read since the start or the last unclear write.
func (division *Quota) IsKnown() bool {
	return division.known && !division.isUnclear()
}

// Floor is the number of slots that a data centre never gives away.
func (division *Quota) Floor() int {
	return division.settings.Total / len(division.settings.DataCentres)
}

// Use is what a data centre does with its slots.
type Usage struct {
	// Busy is the number of slots whose loads have not provably ended.
	Busy int
	// Waiting is the number of loads that wait for a slot.
	Waiting int
}

// Sync reads the row, gives slots that are to spare to data centres that want them, and writes
// the own want. The guard makes the write fail once another process decides for the data
// centre. It costs one read, and one write if something changes.
func (division *Quota) Sync(ctx context.Context, guard datastore.Write, use Usage) error {
	key := datastore.Key{Table: Table, Row: division.settings.Name}
	row, err := division.tables.Read(ctx, key)
	if err != nil && !errors.Is(err, datastore.ErrNotFound) {
		return trace.Wrap(err)
	}
	shares, err := division.decode(row)
	if err != nil {
		return err
	}
	next := division.next(shares, use)
	pending := division.isUnclear() && row.Version == division.unclear
	if !pending {
		division.learn(shares)
	}
	if !pending && row.Version != 0 && slices.Equal(shares, next) {
		return nil
	}
	// Slots that are given away count as gone before the write is sent.
	division.slots = min(division.slots, division.own(next).Slots)
	content, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	_, err = division.tables.Commit(ctx, []datastore.Write{
		guard,
		{Key: key, Check: true, IfVersion: row.Version, Value: content},
	})
	switch {
	case err == nil:
		division.learn(next)
	case errors.Is(err, datastore.ErrConflict), errors.Is(err, datastore.ErrUnavailable):
		if !pending {
			division.learn(shares)
		}
	default:
		division.unclear = row.Version
		division.created = row.Version == 0
	}
	return trace.Wrap(err)
}

func (division *Quota) isUnclear() bool {
	return division.unclear != 0 || division.created
}

func (division *Quota) learn(shares []share) {
	division.slots = division.own(shares).Slots
	division.known = true
	division.unclear = 0
	division.created = false
}

func (division *Quota) own(shares []share) share {
	for _, part := range shares {
		if part.DataCentre == division.settings.DataCentre {
			return part
		}
	}
	return share{DataCentre: division.settings.DataCentre}
}

// decode returns the shares of the row, or the even division if there is no row or another total.
func (division *Quota) decode(row datastore.Row) ([]share, error) {
	var shares []share
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &shares); err != nil {
			return nil, trace.Wrap(err, "row %s of table %s", row.Row, row.Table)
		}
		return shares, nil
	}
	count := len(division.settings.DataCentres)
	for i, name := range division.settings.DataCentres {
		part := share{DataCentre: name, Slots: division.settings.Total / count}
		if i < division.settings.Total%count {
			part.Slots++
		}
		shares = append(shares, part)
	}
	return shares, nil
}

// next returns the shares after this data centre gave what it can spare and noted what it wants.
func (division *Quota) next(shares []share, use Usage) []share {
	next := slices.Clone(shares)
	own := slices.IndexFunc(next, func(part share) bool { return part.DataCentre == division.settings.DataCentre })
	if own < 0 {
		next = append(next, share{DataCentre: division.settings.DataCentre})
		own = len(next) - 1
	}
	next[own].Want = max(0, use.Busy+use.Waiting-next[own].Slots)
	spare := next[own].Slots - max(use.Busy+use.Waiting, division.Floor())
	for ; spare > 0; spare-- {
		to := neediest(next, own)
		if to < 0 {
			break
		}
		next[own].Slots--
		next[to].Slots++
		next[to].Want--
	}
	return next
}

// neediest returns the index of the data centre with the fewest slots among those that want one, or -1.
func neediest(shares []share, except int) int {
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
