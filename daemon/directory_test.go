package daemon

import (
	"testing"

	"github.com/bronzestall/bronzestall/upstream"
)

// TestUnnamedReleaseEqualsNoOther covers engines that do not name their release.
func TestUnnamedReleaseEqualsNoOther(t *testing.T) {
	engine := upstream.State{Upstream: "u1", BootID: "1"}
	for _, c := range []struct {
		name  string
		other upstream.State
		equal bool
	}{
		{"same boot", engine, true},
		{"another boot", upstream.State{Upstream: "u1", BootID: "2"}, false},
		{"another engine", upstream.State{Upstream: "u2", BootID: "1"}, false},
		{"an engine that names the same text", upstream.State{Upstream: "u2", BootID: "1", Release: "unnamed/u1/1"}, false},
	} {
		if got := releaseOf(engine) == releaseOf(c.other); got != c.equal {
			t.Errorf("%s: equal is %t", c.name, got)
		}
	}
}
