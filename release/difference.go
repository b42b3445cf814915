package release

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Difference is the change of one accepted note.
type Difference struct {
	// Number is the number in force after the note.
	Number uint64 `json:"Number"`
	// Body is the note as JSON, the content of its object.
	Body json.RawMessage `json:"Body"`
}

// applyDifference returns the state after the difference. It fails if the number of the difference is not the next
// one, or if the note cannot be decoded or does not fit the catalogue.
func (inForce InForce) applyDifference(difference Difference) (InForce, error) {
	if difference.Number != inForce.Number+1 {
		return inForce, trace.BadParameter("difference %d does not follow number %d", difference.Number, inForce.Number)
	}
	accepted, err := decodeBody(difference.Body)
	if err != nil {
		return inForce, err
	}
	next, err := inForce.Catalogue.Apply(accepted.Change())
	if err != nil {
		return inForce, trace.Wrap(err)
	}
	return InForce{Number: difference.Number, Catalogue: next}, nil
}
