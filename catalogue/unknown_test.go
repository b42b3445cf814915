package catalogue

import (
	"encoding/json"
	"testing"
)

// laterSnapshot is a snapshot of a later build, which has members of its own at each level.
const laterSnapshot = `{"Models":[` +
	`{"InForce":{"Name":"m","Version":"2","Weights":5,"AdapterSlots":2,"AdapterBytes":3,"L1":{"a":[1]}},"Previous":{"Name":"m","Version":"1","Weights":5,"L2":2},"L3":3},` +
	`{"InForce":{"Name":"n","Version":"1","Weights":5,"L4":4}}],` +
	`"Adapters":[{"InForce":{"Name":"a","Model":"m","Version":"2","L5":5},"Previous":{"Name":"a","Model":"m","Version":"1","L6":6},"L7":7}],` +
	`"Services":[{"Name":"s","Upstreams":["u"],"Calls":[{"Method":"GET","Path":"/x","L8":8}],"L9":9}],` +
	`"Withdrawn":[{"Kind":"Model","Name":"old","L10":10}],"L11":[{"Name":"z"}]}`

func decodeCatalogue(t *testing.T, content string) Catalogue {
	t.Helper()
	var decoded Catalogue
	if err := json.Unmarshal([]byte(content), &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func decodeChange(t *testing.T, content string) Change {
	t.Helper()
	var change Change
	if err := json.Unmarshal([]byte(content), &change); err != nil {
		t.Fatal(err)
	}
	return change
}

func expectSnapshot(t *testing.T, catalogue Catalogue, want string) {
	t.Helper()
	if got, err := json.Marshal(catalogue); err != nil || string(got) != want {
		t.Errorf("the snapshot is\n%s, %v, want\n%s", got, err, want)
	}
}

// TestSnapshotKeepsWhatALaterBuildWrote guards against a snapshot that loses the members that only a later build knows.
func TestSnapshotKeepsWhatALaterBuildWrote(t *testing.T) {
	later := decodeCatalogue(t, laterSnapshot)
	expectSnapshot(t, later, laterSnapshot)
	changed, err := later.Apply(decodeChange(t, `{"Models":{"Changed":[{"Name":"m","Version":"3","Weights":5,"AdapterSlots":2,"AdapterBytes":3,"L1":12}],"Withdrawn":["n"]},`+
		`"Adapters":{"Changed":[{"Name":"a","Model":"m","Version":"3"}],"Added":[{"Name":"b","Model":"m","Version":"1","L5":13}]},`+
		`"Services":{"Changed":[{"Name":"s","Upstreams":["u"],"Calls":[{"Method":"GET","Path":"/x","L8":14}]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	expectSnapshot(t, changed, `{"Models":[`+
		`{"InForce":{"Name":"m","Version":"3","Weights":5,"AdapterSlots":2,"AdapterBytes":3,"L1":12},`+
		`"Previous":{"Name":"m","Version":"2","Weights":5,"AdapterSlots":2,"AdapterBytes":3,"L1":{"a":[1]}},"L3":3}],`+
		`"Adapters":[{"InForce":{"Name":"a","Model":"m","Version":"3"},"Previous":{"Name":"a","Model":"m","Version":"2","L5":5},"L7":7},`+
		`{"InForce":{"Name":"b","Model":"m","Version":"1","L5":13}}],`+
		`"Services":[{"Name":"s","Upstreams":["u"],"Calls":[{"Method":"GET","Path":"/x","L8":14}]}],`+
		`"Withdrawn":[{"Kind":"Model","Name":"old","L10":10},{"Kind":"Model","Name":"n"}],"L11":[{"Name":"z"}]}`)
}

// TestCompareSeesWhatOnlyALaterBuildKnows guards against a difference of two catalogues that is taken for none.
func TestCompareSeesWhatOnlyALaterBuildKnows(t *testing.T) {
	later := decodeCatalogue(t, laterSnapshot)
	change := decodeChange(t, `{"Models":{"Changed":[{"Name":"n","Version":"1","Weights":5,"L4":5}]},`+
		`"Adapters":{"Changed":[{"Name":"a","Model":"m","Version":"2"}]},`+
		`"Services":{"Changed":[{"Name":"s","Upstreams":["u"],"Calls":[{"Method":"GET","Path":"/x","L8":8}]}]}}`)
	changed, err := later.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	want, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(Compare(later, changed)); err != nil || string(got) != string(want) {
		t.Errorf("the difference is %s, %v, want %s", got, err, want)
	}
}

// TestUnknownMembersOfAnyFormAreKept covers odd members: they are kept, and do not hide the entry.
func TestUnknownMembersOfAnyFormAreKept(t *testing.T) {
	for _, member := range []string{`"":null`, `"Unknown":{"a":1}`, `"-":1`, `"New":1e400`, `"New":"\u0000"`} {
		content := `{"Models":[{"InForce":{"Name":"m","Version":"1","Weights":5,` + member + `},` + member + `}],` + member + `}`
		expectSnapshot(t, decodeCatalogue(t, content), content)
	}
}

// FuzzSnapshot checks that a snapshot that was read is written, and read again, without a loss.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(laterSnapshot))
	f.Add([]byte(`{"models":[{"InForce":{"name":"m","Name":"n"},"Previous":null,"X":"\u0000<"}],"":[]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var first, second Catalogue
		if json.Unmarshal(content, &first) != nil {
			return
		}
		written, err := json.Marshal(first)
		if err != nil {
			t.Fatalf("%q: %v", content, err)
		}
		if err := json.Unmarshal(written, &second); err != nil {
			t.Fatalf("%q is written as %q: %v", content, written, err)
		}
		expectSnapshot(t, second, string(written))
	})
}
