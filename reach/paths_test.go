package reach

import (
	"testing"
	"time"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestCutOff(t *testing.T) {
	type observation struct {
		key     string
		reached bool
		begun   int
		at      int
	}
	cases := []struct {
		name         string
		observations []observation
		cutOff       bool
	}{
		{"nothing known", nil, false},
		{"one replica is dead", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}}, false},
		{"one replica is dead, others answer", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"b", true, 25, 25}, {"c", false, 30, 40}}, false},
		{"two in a row and no proof since", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"b", false, 12, 22}}, true},
		{"the same one twice", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"a", false, 12, 22}}, false},
		{"the only one", []observation{{"a", true, 0, 0}, {"a", false, 10, 20}}, true},
		{"a proof came while the attempt hung", []observation{{"a", true, 0, 0}, {"a", false, 10, 500}, {"b", true, 600, 600}, {"c", false, 500, 1000}, {"d", false, 550, 1050}}, false},
		{"too long ago", []observation{{"a", false, 0, 10}, {"b", true, 20, 20}, {"c", false, 30, 40}, {"d", false, 6000, 6010}}, false},
		{"back", []observation{{"a", true, 0, 0}, {"a", false, 10, 20}, {"b", false, 12, 22}, {"a", true, 500, 501}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paths := New()
			for _, seen := range c.observations {
				if seen.reached {
					paths.Reached(seen.key, at(seen.at))
				} else {
					paths.Lost(seen.key, at(seen.begun), at(seen.at))
				}
			}
			if _, cutOff := paths.IsCutOff(); cutOff != c.cutOff {
				t.Errorf("the daemon is cut off: %v", cutOff)
			}
		})
	}
}
