package note

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestNoteKeepsWhatALaterBuildWrote guards against a note that loses the members that only a later build knows.
func TestNoteKeepsWhatALaterBuildWrote(t *testing.T) {
	const later = `{"Note":"n","Base":3,"Summary":"s",` +
		`"Models":{"Added":[{"Name":"m","Version":"1","Weights":5,"L1":1}],"Withdrawn":["o"],"L2":{"b":[2]}},` +
		`"Adapters":{"Changed":[{"Name":"a","Model":"m","Version":"1","L3":3}],"Withdrawn":[{"Model":"m","Name":"b","L4":4}],"L5":5},` +
		`"Services":{"Added":[{"Name":"s","Upstreams":["u"],"Calls":[{"Method":"GET","Path":"/x","L6":6}],"L7":7}],"L8":8},"L9":{"Added":[]}}`
	var decoded Note
	if err := json.Unmarshal([]byte(later), &decoded); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(decoded); err != nil || string(got) != later {
		t.Errorf("the note is written as\n%s, %v, want\n%s", got, err, later)
	}
}

// TestDiffShowsWhatOnlyALaterBuildKnows checks that an operator sees that a changed entry loses a member of a later build, and that
// the change counts as one.
func TestDiffShowsWhatOnlyALaterBuildKnows(t *testing.T) {
	var inForce catalogue.Catalogue
	if err := json.Unmarshal([]byte(`{"Models":[{"InForce":{"Name":"m","Version":"1","Weights":5,"L":1}}]}`), &inForce); err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse("note.yaml", []byte("Note: n\nBase: 1\nSummary: s\nModels: {Changed: [{Name: m, Version: \"1\", Weights: 5B}]}"))
	if err != nil {
		t.Fatal(err)
	}
	if problems := parsed.Check(inForce, Capacity{}); len(problems) != 0 {
		t.Errorf("problems: %v", problems)
	}
	if lines := parsed.Diff(inForce); len(lines) != 1 || !strings.Contains(lines[0].String(), `Unknown: {"L":1} -> `) {
		t.Errorf("the difference is %v", lines)
	}
}

// TestUnknownIsNoKeyOfNotes checks that operators cannot write the field that keeps the members of later builds.
func TestUnknownIsNoKeyOfNotes(t *testing.T) {
	for _, key := range []string{"Unknown", "\"-\"", "Later"} {
		if _, err := Parse("note.yaml", []byte("Note: n\nModels: {Added: [{Name: m, "+key+": x}]}")); err == nil || !strings.Contains(err.Error(), "unknown key") {
			t.Errorf("%s: %v", key, err)
		}
	}
}
