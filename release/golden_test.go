package release

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/golden"
)

func TestEntryOfOtherBuilds(t *testing.T) {
	golden.Format[Entry]{
		Name: "entry", Variants: golden.JSON,
		Sample: Entry{
			Number: 3, Note: "n", By: "o", At: time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC), Summary: "s", Body: "Notes/1", Bytes: 4,
			Snapshot: Snapshot{Number: 2, Object: "Snapshots/1"},
		},
		Encode: func(sample Entry) []byte {
			content, err := json.Marshal(sample)
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (Entry, error) { return decodeEntry(datastore.Row{Value: content}) },
	}.Check(t)
}
