package daemon

import "testing"

func TestClaimantIsReadAsWritten(t *testing.T) {
	for _, want := range []claimant{{"entry-1", 7}, {"rack/entry-1", 1 << 62}} {
		got, ok := parseClaimant(want.String())
		if !ok || got != want {
			t.Errorf("%+v is read as %+v, %t", want, got, ok)
		}
	}
	for _, text := range []string{"", "entry-1", "entry-1/", "entry-1/x", "entry-1/-3"} {
		if got, ok := parseClaimant(text); ok {
			t.Errorf("%q is read as %+v", text, got)
		}
	}
}
