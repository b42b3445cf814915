package relay

import (
	"testing"
	"testing/synctest"

	"github.com/bronzestall/bronzestall/outcome"
)

// TestStreamGoesOnOnlyAtTheReleaseThatBeganIt guards against issue 42: a stream that its replica broke off went on, within one
// answer, at a replica of another software version.
func TestStreamGoesOnOnlyAtTheReleaseThatBeganIt(t *testing.T) {
	broken := func() step { return answered(200, events(1, 2), errBroken) }
	cases := []struct {
		name     string
		releases map[string]string
		steps    []step
		// body is what the client gets, and failure is -1 if the stream becomes complete.
		body    string
		failure outcome.Kind
	}{
		{"another replica of its release", map[string]string{"a": "v1", "b": "v1"}, []step{broken(), ok(events(3, 4))}, events(1, 4), -1},
		{"only another release", map[string]string{"a": "v1", "b": "v2"}, []step{broken(), ok(events(3, 4))}, "", -1},
		{"releases without names", map[string]string{"a": "?a@0", "b": "?b@0"}, []step{broken(), ok(events(3, 4))}, "", -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(c.steps...)
				fixture.setReleases(c.releases)
				failure := fixture.serve(t.Context(), "/resume/x")
				sent := map[string]bool{}
				for _, attempt := range fixture.upstream.attempts {
					sent[c.releases[attempt.Replica.ID]] = true
				}
				if len(sent) > 1 {
					t.Errorf("events of the releases %v, ended as %v", sent, failure)
				}
				if c.body != "" && (fixture.client.body.String() != c.body || failure != nil) {
					t.Errorf("ended as %v with %q", failure, fixture.client.body.String())
				}
			})
		})
	}
}
