package exchange

import (
	"math"
	"testing"
)

// TestEventZeroIsAnEvent guards against issue 77 (review/14): the event with the number zero passed for no event.
func TestEventZeroIsAnEvent(t *testing.T) {
	none, zero, one, last := EventID{}, NewEventID(0), NewEventID(1), NewEventID(math.MaxUint64)
	for _, c := range []struct {
		id, other EventID
		covers    bool
	}{
		{none, none, false},
		{none, zero, false},
		{zero, none, false},
		{zero, zero, true},
		{zero, one, false},
		{one, zero, true},
		{one, one, true},
		{last, one, true},
		{one, last, false},
	} {
		if got := c.id.Covers(c.other); got != c.covers {
			t.Errorf("%v covers %v: %v", c.id, c.other, got)
		}
	}
	if none.Or(zero) != zero || zero.Or(one) != zero || none == zero {
		t.Error("the event zero counts as none")
	}
	if none.MarshalLog() == zero.MarshalLog() {
		t.Error("logs do not tell the event zero from none")
	}
}
