package daemon

import "testing"

// TestClaimantRoundTrip parses the stored form of claimants, also of a name with a separator, and malformed
// texts.
func TestClaimantRoundTrip(t *testing.T) {
	for _, want := range []claimant{{"entry-1", 7}, {"rack/entry-1", 1 << 62}} {
		got, ok := parseClaimant(want.String())
		if !ok || got != want {
			t.Errorf("%+v is parsed as %+v, %t", want, got, ok)
		}
	}
	for _, text := range []string{"", "entry-1", "entry-1/", "entry-1/x", "entry-1/-3"} {
		if got, ok := parseClaimant(text); ok {
			t.Errorf("%q is parsed as %+v", text, got)
		}
	}
}
