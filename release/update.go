package release

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/catalogue"
)

// Update contains what a follower needs to advance from an older number to a newer one. Daemons send it to each other
// as JSON.
type Update struct {
	// Number is the number in force after the update.
	Number uint64 `json:"Number"`
	// Whole is the whole catalogue, to which the differences are applied, or empty.
	Whole json.RawMessage `json:"Whole,omitempty"`
	// WholeNumber is the number in force of Whole.
	WholeNumber uint64 `json:"WholeNumber,omitempty"`
	// Differences are consecutive and end at Number. Without Whole they start after the requested number.
	Differences []Difference `json:"Differences,omitempty"`
}

// Source provides updates; other daemons are sources. The dynamic type must be comparable, and equal sources must be
// the same daemon.
type Source interface {
	// Since returns an update from the number. If there is nothing newer, the Number of the update is at most number.
	Since(ctx context.Context, number uint64) (Update, error)
}

// applyUpdate returns the state after the update. It fails if the update cannot be decoded, does not fit, or does not
// end at its Number.
func (inForce InForce) applyUpdate(update Update) (InForce, error) {
	if len(update.Whole) > 0 {
		var whole catalogue.Catalogue
		if err := json.Unmarshal(update.Whole, &whole); err != nil {
			return inForce, trace.Wrap(err)
		}
		inForce = InForce{Number: update.WholeNumber, Catalogue: whole}
	}
	for _, difference := range update.Differences {
		next, err := inForce.applyDifference(difference)
		if err != nil {
			return inForce, err
		}
		inForce = next
	}
	if inForce.Number != update.Number {
		return inForce, trace.BadParameter("update ends at number %d instead of %d", inForce.Number, update.Number)
	}
	return inForce, nil
}
