package release

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/catalogue"
)

// Update brings a follower from an older number to a newer one. Daemons send it to each other as JSON.
type Update struct {
	// Number is the number in force after the update.
	Number uint64 `json:"Number"`
	// Whole is the whole catalogue before the differences, or empty.
	Whole json.RawMessage `json:"Whole,omitempty"`
	// WholeNumber is the number in force of Whole.
	WholeNumber uint64 `json:"WholeNumber,omitempty"`
	// Differences follow each other up to Number. Without Whole they begin after the number that was asked for.
	Differences []Difference `json:"Differences,omitempty"`
}

// Source gives updates; other daemons are sources. Its type must be comparable, and equal sources are the same daemon.
type Source interface {
	// Since returns what follows the number, or an update with Number at most number if there is nothing.
	Since(ctx context.Context, number uint64) (Update, error)
}

// applyUpdate returns the state after the update.
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
