package permit

import (
	"encoding/json"
	"testing"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/golden"
)

func TestSharesOfOtherBuilds(t *testing.T) {
	golden.Format[[]share]{
		Name: "shares", Variants: golden.JSON, Sample: []share{{DataCentre: "a", Slots: 2, Want: 1}, {DataCentre: "b", Slots: 3}},
		Encode: func(sample []share) []byte {
			content, err := json.Marshal(sample)
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) ([]share, error) {
			shares, err := (&Quota{}).decode(datastore.Row{Version: 1, Value: content})
			for index := range shares {
				shares[index].rest = ""
			}
			return shares, err
		},
	}.Check(t)
}
