package intent

import (
	"encoding/json"
	"testing"

	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/upstream"
)

// checkRow checks the value of a row. strip removes what is kept of unknown members.
func checkRow[T any](t *testing.T, name string, sample T, strip func(*T)) {
	t.Helper()
	golden.Format[T]{
		Name: name, Sample: sample, Variants: golden.JSON,
		Encode: func(sample T) []byte { return encode(sample) },
		Decode: func(content []byte) (decoded T, err error) {
			err = json.Unmarshal(content, &decoded)
			strip(&decoded)
			return decoded, err
		},
	}.Check(t)
}

func TestRowsOfOtherBuilds(t *testing.T) {
	sender := Sender{VM: "a", VMIncarnation: "1", DataCentre: "z", Process: "p", Reign: 2}
	checkRow(t, "intent", Intent{
		ID: "o", Upstream: "u", BootID: "b", Verb: upstream.Load, Model: "m", Version: "1", Memory: 5, Role: upstream.Mixed, Fence: 2,
		Sender: sender, Tier: upstream.Disk, Budget: 1,
	}, func(*Intent) {})
	checkRow(t, "sender", senderRecord{Sender: sender, Ended: true, EndedReign: 2}, func(*senderRecord) {})
	checkRow(t, "budget", Budget{Fence: 2, Sender: sender, Loads: 1, Shares: []Share{{Upstream: "u", BootID: "b", Memory: 5, Rows: 3}}},
		func(budget *Budget) {
			budget.rest = ""
			for index := range budget.Shares {
				budget.Shares[index].rest = ""
			}
		})
}
