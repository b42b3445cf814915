package lending

import (
	"testing"
	"time"
)

// TestSilentDaemons covers when a daemon counts as silent, and what becomes of the requests that it serves. In the steps, "+" is a
// response, "-" a missing one, and "." a pause of 300 ms.
func TestSilentDaemons(t *testing.T) {
	cases := []struct {
		name, trace   string
		moved, silent bool
	}{
		{"a daemon that responds", "+.+.+.+.+.+", false, false},
		{"a pause of a busy daemon", "+.-.-.-.+.-.-", false, false},
		{"a daemon that does not respond", "+.-.-.-.-.-", true, true},
		{"one that never did", ".-.-.-.-.-", true, true},
		{"one that responds again", "+.-.-.-.-.-.+", true, false},
		{"long ago", "+.-.-.-.-.-..............", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			borrowed, now := NewBorrowed(), time.Unix(1000, 0)
			once := borrowed.Begin(Lender{"a", "address"}, nil, now)
			defer once()
			asked, moved := 0, false
			end := borrowed.Begin(Lender{"a", "address"}, func() bool {
				// The first time, nothing allows another attempt.
				asked++
				moved = asked == 2
				return moved
			}, now)
			defer end()
			for _, step := range c.trace {
				switch step {
				case '+':
					borrowed.Responded("a", now)
				case '-':
					borrowed.NoResponse("a", now)
				case '.':
					now = now.Add(300 * time.Millisecond)
				}
			}
			if moved != c.moved || asked > 2 {
				t.Errorf("the request was moved: %v, asked %d times", moved, asked)
			}
			if silent := borrowed.Silent("a", now); silent != c.silent {
				t.Errorf("the daemon counts as silent: %v", silent)
			}
			if borrowed.Count("a") != 2 {
				t.Errorf("%d requests, want 2 until they have ended", borrowed.Count("a"))
			}
		})
	}
}

// TestIdleDaemonsAreForgotten checks that only daemons with requests are asked whether they respond, and that others cost nothing.
func TestIdleDaemonsAreForgotten(t *testing.T) {
	borrowed, now := NewBorrowed(), time.Unix(1000, 0)
	for _, name := range []string{"b", "a", "c"} {
		end := borrowed.Begin(Lender{name, name}, nil, now)
		if name == "c" {
			end()
		}
	}
	if serving := borrowed.Serving(now); len(serving) != 2 || serving[0].Name != "a" || serving[1].Name != "b" {
		t.Errorf("serving: %v", serving)
	}
	if len(borrowed.daemons) != 2 {
		t.Errorf("%d daemons are kept", len(borrowed.daemons))
	}
}
