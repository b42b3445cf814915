package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

const bigNote = `Note: big
Base: 0
Summary: two models that each fill a data centre
Models:
  Added:
    - {Name: first, Version: "1", Weights: 30GiB}
    - {Name: second, Version: "1", Weights: 30GiB}
`

// TestFullDataCentreOverflows guards against a request that gets no response because another model in use fills the
// memory of its data centre.
func TestFullDataCentreOverflows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newTestbed(t, 1)
		defer testbed.close()
		time.Sleep(20 * time.Second)
		if err := testbed.apply(bigNote); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		busy, other := newCaller(testbed, 1), newCaller(testbed, 2)
		busy.pinnedEntry, other.pinnedEntry = testbed.entries[0], testbed.entries[0]
		defer busy.close()
		defer other.close()
		ended := make(chan result)
		go func() { ended <- busy.chat("first", true, 5000) }()
		time.Sleep(20 * time.Second)
		if got := other.chat("second", true, 5); !got.complete {
			t.Errorf("no complete response from the second model: %+v", got)
		}
		if got := <-ended; !got.complete {
			t.Errorf("no complete response from the first model: %+v", got)
		}
	})
}
