package agenda

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAgendaMatchesScan compares Pop with a scan over all keys.
func TestAgendaMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agenda, model := New[int](), map[int]time.Time{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			key, second := rapid.IntRange(0, 5).Draw(t, "key"), rapid.IntRange(0, 50).Draw(t, "second")
			at := time.Unix(int64(second), 0)
			if second == 0 {
				agenda.Schedule(key, time.Time{})
				delete(model, key)
				continue
			}
			if rapid.Bool().Draw(t, "schedule") {
				agenda.Schedule(key, at)
				model[key] = at
				continue
			}
			wantKey, wantAt, want := 0, time.Time{}, false
			for key := range 6 {
				if due, ok := model[key]; ok && !due.After(at) && (!want || due.Before(wantAt)) {
					wantKey, wantAt, want = key, due, true
				}
			}
			gotKey, gotAt, got := agenda.Pop(at)
			if got != want || gotKey != wantKey || !gotAt.Equal(wantAt) {
				t.Fatalf("pop: got %d %s %v, want %d %s %v", gotKey, gotAt, got, wantKey, wantAt, want)
			}
			if want {
				delete(model, wantKey)
			}
			if len(agenda.entries) > staleFactor*6+staleAllowance+1 {
				t.Fatalf("stale entries are kept: %d", len(agenda.entries))
			}
		}
	})
}
