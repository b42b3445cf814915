package relay

import (
	"testing"
	"time"
)

// TestGapsOfAStream guards against late pauses that are missed or counted twice, and against means of few gaps.
func TestGapsOfAStream(t *testing.T) {
	const target = 300 * time.Millisecond
	var stream gaps
	stream.begin(time.Second)
	lates, means := 0, 0
	for _, at := range []time.Duration{1050, 1100, 1500, 1550, 1950, 2050, 2100} {
		mean, late := stream.observe(at*time.Millisecond, target)
		if late {
			lates++
		}
		if mean > 0 {
			means++
			if mean != 175*time.Millisecond {
				t.Errorf("the mean is %v", mean)
			}
		}
	}
	if lates != 1 || means != 1 {
		t.Errorf("%d late pauses and %d means are reported", lates, means)
	}
	if rest := stream.rest(); rest != 0 {
		t.Errorf("one gap has the mean %v", rest)
	}
}
