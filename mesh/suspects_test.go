package mesh

import (
	"reflect"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/quarantine"
)

// TestSuspectsKeepTheirLists checks that other daemons receive each list of crashes of a suspect as it is.
func TestSuspectsKeepTheirLists(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(boot string) quarantine.Crash { return quarantine.Crash{Upstream: "r", BootID: boot, Sequence: 2} }
	sent := quarantine.Suspect{
		Kind: quarantine.PromptPart, Fingerprint: 7, Until: now.Add(time.Minute),
		Crashes:   []quarantine.Crash{crash("1"), crash("2")},
		Times:     []quarantine.CrashTime{{At: now.Add(-time.Second), Silent: true}, {}},
		Cleared:   []quarantine.Crash{crash("3")},
		Retracted: []quarantine.Crash{crash("4")},
	}
	got := decodeSuspects(encodeSuspects([]quarantine.Suspect{sent}, now), now)
	if len(got) != 1 || !reflect.DeepEqual(got[0], sent) {
		t.Errorf("received %+v, want %+v", got, sent)
	}
}
