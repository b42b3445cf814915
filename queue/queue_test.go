package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestSharesOfBackloggedTenants checks that tenants with waiting entries are served by their weights,
// regardless of the number and cost of their entries.
func TestSharesOfBackloggedTenants(t *testing.T) {
	queue := New[string](10000)
	push := func(tenant string, share, cost, count int) {
		for range count {
			queue.Push(&Entry[string]{Tenant: tenant, Share: share, Cost: cost, Item: tenant})
		}
	}
	push("flood", 1, 100, 5000)
	push("light", 1, 10, 2000)
	push("double", 2, 50, 2000)
	left := map[string]int{}
	for range 1000 {
		entry := queue.Pop()
		left[entry.Tenant] += entry.Cost
	}
	if left["light"] < left["flood"]-100 || left["light"] > left["flood"]+100 || left["double"] < 2*left["flood"]-200 || left["double"] > 2*left["flood"]+200 {
		t.Errorf("tokens served by tenant: %v", left)
	}
	late := &Entry[string]{Tenant: "late", Cost: 1, Item: "late"}
	queue.Push(late)
	for n := 0; queue.Pop() != late; n++ {
		if n > 3 {
			t.Fatal("an idle tenant waited behind the backlog of others")
		}
	}
}

func TestPriorityWithinATenant(t *testing.T) {
	queue := New[int](10)
	for n, priority := range []int{0, 5, 0, 5} {
		queue.Push(&Entry[int]{Tenant: "a", Cost: 1, Priority: priority, Item: n})
	}
	for _, want := range []int{1, 3, 0, 2} {
		if got := queue.Pop().Item; got != want {
			t.Errorf("popped %d, want %d", got, want)
		}
	}
}

func TestFullQueueMakesRoomForOthers(t *testing.T) {
	queue := New[int](4)
	for n := range 4 {
		queue.Push(&Entry[int]{Tenant: "flood", Cost: 1, Item: n})
	}
	if displaced, ok := queue.Push(&Entry[int]{Tenant: "flood", Cost: 1}); ok || displaced != nil {
		t.Error("a full queue accepted another entry of the flooding tenant")
	}
	displaced, ok := queue.Push(&Entry[int]{Tenant: "light", Cost: 1})
	if !ok || displaced == nil || displaced.Item != 3 || displaced.Waiting() {
		t.Errorf("the light tenant displaced %+v, %t", displaced, ok)
	}
	if _, ok := queue.Push(&Entry[int]{Tenant: "light", Cost: 1}); !ok || queue.Len() != 4 {
		t.Errorf("the light tenant did not get its half of %d", queue.Len())
	}
	if _, ok := queue.Push(&Entry[int]{Tenant: "light", Cost: 1}); ok {
		t.Error("the light tenant got more than its half")
	}
}

// TestRandomOperations checks counts, bounds and state of a queue against a simple model under random
// operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		queue := New[int](capacity)
		waiting := map[*Entry[int]]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				entry := &Entry[int]{
					Tenant: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant")),
					Cost:   rapid.IntRange(0, 50).Draw(t, "cost"),
					Share:  rapid.IntRange(0, 3).Draw(t, "share"),
				}
				displaced, ok := queue.Push(entry)
				delete(waiting, displaced)
				if ok {
					waiting[entry] = true
				} else if len(waiting) < capacity {
					t.Fatal("a queue below its capacity rejected an entry")
				}
			},
			"pop": func(t *rapid.T) {
				entry := queue.Pop()
				if (entry == nil) != (len(waiting) == 0) || (entry != nil && !waiting[entry]) {
					t.Fatalf("popped %v of %d", entry, len(waiting))
				}
				delete(waiting, entry)
			},
			"drop late": func(t *rapid.T) {
				most := float64(rapid.IntRange(0, 100).Draw(t, "most"))
				late := func(_ *Entry[int], tokens float64) bool { return tokens > most }
				for _, entry := range queue.FindLate(late) {
					if !waiting[entry] {
						t.Fatalf("found %v late, which does not wait", entry)
					}
					queue.Remove(entry)
					delete(waiting, entry)
				}
			},
			"remove": func(*rapid.T) {
				for entry := range waiting {
					queue.Remove(entry)
					queue.Remove(entry)
					delete(waiting, entry)
					break
				}
			},
			"": func(t *rapid.T) {
				cost := 0
				for entry := range waiting {
					cost += entry.Cost
					if !entry.Waiting() {
						t.Fatal("an entry was lost")
					}
				}
				if queue.Len() != len(waiting) || queue.Len() > capacity || int(queue.Cost()) != cost {
					t.Fatalf("%d entries of %v tokens, want %d of %d", queue.Len(), queue.Cost(), len(waiting), cost)
				}
				if len(queue.flows) > 4 || (len(waiting) == 0 && len(queue.flows) > 0) {
					t.Fatalf("%d flows for %d entries", len(queue.flows), len(waiting))
				}
			},
		})
	})
}

// BenchmarkAdmission measures the queue's part of one admission with 100 tenants and 4000 waiting entries.
func BenchmarkAdmission(b *testing.B) {
	queue := New[int](5000)
	for n := range 4000 {
		queue.Push(&Entry[int]{Tenant: fmt.Sprint(n % 100), Cost: 100})
	}
	entries := make([]Entry[int], 100)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		entry := &entries[n%100]
		*entry = Entry[int]{Tenant: fmt.Sprint(n % 100), Cost: 100}
		queue.TokensAhead(entry)
		queue.Push(entry)
		queue.Pop()
		n++
	}
}
