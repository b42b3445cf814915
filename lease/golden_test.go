package lease

import (
	"testing"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/golden"
)

// checkRow checks the value of a row.
func checkRow[T any](t *testing.T, name string, sample T) {
	t.Helper()
	golden.Format[T]{
		Name: name, Sample: sample, Variants: golden.JSON,
		Encode: func(sample T) []byte { return encode(sample) },
		Decode: func(content []byte) (decoded T, err error) {
			err = decode(datastore.Row{Value: content}, &decoded)
			return decoded, err
		},
	}.Check(t)
}

func TestRowsOfOtherBuilds(t *testing.T) {
	holder := Holder{Name: "a", DataCentre: "z", Incarnation: "p"}
	checkRow(t, "lease", record{Holder: holder, Fence: 3, Renewal: 4, Former: "b", Steps: 5, Released: true, Era: 2})
	checkRow(t, "fence", fenceRecord{Fence: 3, Holder: holder})
	checkRow(t, "request", holder)
}
