package front

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/quarantine"
)

// encodeRow returns the value of a row.
func encodeRow(t *testing.T, content any) []byte {
	t.Helper()
	value, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestOriginPageOfOtherBuilds(t *testing.T) {
	golden.Format[originPage]{
		Name: "origins", Variants: golden.JSON, Decode: decodeOriginPage,
		Sample: originPage{Releases: origin.Releases{"s": {"v1", "v2"}}, Groups: []originGroup{{Service: "s", Release: "v1", Attempts: []string{"x", "y"}}}},
		Encode: func(sample originPage) []byte { return encodeRow(t, sample) },
	}.Check(t)
}

func TestInventoryOfOtherBuilds(t *testing.T) {
	golden.Format[origin.Inventory]{
		Name: "releases", Variants: golden.JSON, Sample: origin.Inventory{Era: 3, Releases: origin.Releases{"s": {"v1", "v2"}}},
		Encode: func(sample origin.Inventory) []byte { return encodeRow(t, inventoryContent(sample)) },
		Decode: func(content []byte) (origin.Inventory, error) {
			inventory, _ := decodeInventory(datastore.Row{Key: inventoryKey(), Value: content})
			return inventory, nil
		},
	}.Check(t)
}

func TestSuspectRowOfOtherBuilds(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(boot string) quarantine.Crash { return quarantine.Crash{Upstream: "r", BootID: boot, Sequence: 1} }
	sample := quarantine.Suspect{
		Kind: quarantine.PromptPart, Fingerprint: 7, Until: now.Add(quarantine.Retention),
		Crashes: []quarantine.Crash{crash("1")}, Times: []quarantine.CrashTime{{At: now.Add(-time.Second)}},
		Cleared: []quarantine.Crash{crash("2")}, Retracted: []quarantine.Crash{crash("3")},
	}
	golden.Format[quarantine.Suspect]{
		Name: "suspect", Variants: golden.JSON, Sample: sample,
		Encode: func(sample quarantine.Suspect) []byte { return encodeRow(t, newSuspectContent(sample, now)) },
		Decode: func(content []byte) (quarantine.Suspect, error) {
			return decodeSuspect(datastore.Row{Key: suspectKey(sample), Value: content}, now)
		},
	}.Check(t)
}

// FuzzRows checks that no row of another build ends the daemon.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"Crashes":[{"Upstream":"r","Later":1}],"Ages":[-1,5],"Later":{}}`))
	f.Add([]byte(`{"Releases":{"s":["v1"]},"Groups":[{"Service":"s","Attempts":["x"]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row := datastore.Row{Key: datastore.Key{Table: suspectTable, Row: "1f"}, Value: value}
		suspect, rest, err := decodeSuspectRow(row, time.Unix(1000, 0))
		if err == nil && (len(suspect.Times) > len(suspect.Crashes) || len(rest) > 0 && !json.Valid([]byte(rest))) {
			t.Errorf("decoded as %+v with %q", suspect, rest)
		}
		if page, err := decodeOriginPage(value); err == nil {
			_ = page.streams()
		}
		if _, rest := decodeInventory(row); len(rest) > 0 && !json.Valid([]byte(rest)) {
			t.Errorf("the inventory has the rest %q", rest)
		}
	})
}
