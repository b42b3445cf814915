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

// TestFullDataCentreOverflows asks for a model in a data centre whose memory another one holds.
func TestFullDataCentreOverflows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(t, 1)
		defer world.close()
		time.Sleep(20 * time.Second)
		if err := world.apply(bigNote); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		busy, other := newCaller(world, 1), newCaller(world, 2)
		busy.only, other.only = world.entries[0], world.entries[0]
		defer busy.close()
		defer other.close()
		ended := make(chan result)
		go func() { ended <- busy.chat("first", true, 5000) }()
		time.Sleep(20 * time.Second)
		if got := other.chat("second", true, 5); !got.whole {
			t.Errorf("the second model is not answered: %+v", got)
		}
		if got := <-ended; !got.whole {
			t.Errorf("the first model is not answered: %+v", got)
		}
	})
}
