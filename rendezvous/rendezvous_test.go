package rendezvous

import (
	"slices"
	"testing"
	"time"
)

func TestFewKeysMove(t *testing.T) {
	daemons := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	moved, load := 0, map[string]int{}
	const upstreams = 800
	for number := range upstreams {
		name := "gpu-" + string(rune('a'+number%26)) + time.Duration(number).String()
		before := Choose(name, daemons, 2)
		after := Choose(name, daemons[:7], 2)
		if len(before) != 2 || before[0] == before[1] {
			t.Fatalf("assigned: %v", before)
		}
		for _, daemon := range before {
			load[daemon]++
			if daemon != "h" && !slices.Contains(after, daemon) {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d upstreams moved away from remaining daemons", moved)
	}
	for daemon, count := range load {
		if count < upstreams/8 || count > upstreams/2 {
			t.Errorf("%s polls %d upstreams", daemon, count)
		}
	}
	if got := Choose("gpu", nil, 2); len(got) != 0 {
		t.Errorf("assigned without daemons: %v", got)
	}
}
