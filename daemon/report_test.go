package daemon

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestStatusNamesTheReleaseOfAnEngine guards against issue 43: the status did not show which engines can go on with whose streams.
func TestStatusNamesTheReleaseOfAnEngine(t *testing.T) {
	for _, release := range []string{"2.4.1", ""} {
		observed := &fleet.Entry{State: upstream.State{BootID: "1", Release: release}}
		if got := reportUpstream(observed, time.Unix(0, 0)).Release; got != release {
			t.Errorf("the status names the release %q, want %q", got, release)
		}
	}
}
