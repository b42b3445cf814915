package keepwarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// monday is the midnight that begins the first day of the tests.
var monday = time.Date(2026, time.September, 7, 0, 0, 0, 0, time.UTC)

const testDay = 24 * time.Hour

var testTraits = Properties{Accelerators: 1, ColdStart: 30 * time.Second}

// dawns enters a burst of ten arrivals after 05:00 on each day.
func dawns(policy Policy, model string, days int) {
	for day := range days {
		for number := range 10 {
			policy.Observe(model, monday.Add(time.Duration(day)*testDay+5*time.Hour+time.Duration(number)*2*time.Minute), 1)
		}
	}
}

func TestLearntLoadsBeforeDawnOnly(t *testing.T) {
	learnt := NewPredictive(NewStatistics(time.UTC), Costs{ColdStart: 1, IdleHour: 20})
	learnt.Describe("planner", testTraits)
	dawns(learnt, "planner", 7)
	for _, test := range []struct {
		at     time.Duration
		wanted int
	}{
		{7 * time.Hour, 0},
		{19 * time.Hour, 0},
		{testDay + 2*time.Hour, 0},
		{testDay + 5*time.Hour, 1},
		{testDay + 12*time.Hour, 0},
	} {
		if got := learnt.Wanted("planner", monday.Add(6*testDay+test.at)); got != test.wanted {
			t.Errorf("wanted at %s: %d, want %d", test.at, got, test.wanted)
		}
	}
}

func TestLearntWeighsCosts(t *testing.T) {
	hours := func(weights Costs, traits Properties) int {
		learnt := NewPredictive(NewStatistics(time.UTC), weights)
		learnt.Describe("planner", traits)
		dawns(learnt, "planner", 14)
		held := 0
		for minute := range 24 * 60 {
			held += learnt.Wanted("planner", monday.Add(14*testDay+time.Duration(minute)*time.Minute))
		}
		return held
	}
	base := hours(Costs{ColdStart: 1, IdleHour: 8}, testTraits)
	for _, test := range []struct {
		name    string
		minutes int
		more    bool
	}{
		{"dearer cold start", hours(Costs{ColdStart: 20, IdleHour: 8}, testTraits), true},
		{"dearer idle hour", hours(Costs{ColdStart: 1, IdleHour: 200}, testTraits), false},
		{"more accelerators", hours(Costs{ColdStart: 1, IdleHour: 8}, Properties{Accelerators: 8, ColdStart: 30 * time.Second}), false},
		{"checkpoint in memory", hours(Costs{ColdStart: 1, IdleHour: 8}, Properties{Accelerators: 1, ColdStart: time.Second}), false},
	} {
		if test.more && test.minutes <= base || !test.more && test.minutes >= base {
			t.Errorf("%s: held %d minutes, base %d", test.name, test.minutes, base)
		}
	}
}

func TestLearntToleratesBadInput(t *testing.T) {
	learnt := NewPredictive(NewStatistics(time.UTC), Costs{ColdStart: 1, IdleHour: 1})
	if learnt.Wanted("unknown", monday) != 0 || !learnt.Next("unknown", monday).IsZero() {
		t.Error("a model without traits is wanted")
	}
	learnt.Describe("planner", testTraits)
	learnt.Observe("planner", monday, 0)
	if learnt.book.Models() != 0 {
		t.Error("no arrivals made a history")
	}
	learnt.Observe("planner", monday.Add(time.Hour), 1)
	learnt.Observe("planner", monday, 1)
	if got := learnt.book.histories["planner"].last; !got.Equal(monday.Add(time.Hour)) {
		t.Errorf("last arrival after the clock went back: %s", got)
	}
	if learnt.Wanted("planner", monday.Add(time.Hour)) != 1 {
		t.Error("a model that was just asked for is not wanted")
	}
	learnt.Forget("planner")
	if learnt.Wanted("planner", monday.Add(time.Hour)) != 0 {
		t.Error("a withdrawn model is wanted")
	}
}

func TestGridBeginsWeeksOnMonday(t *testing.T) {
	grid := grid{location: time.FixedZone("east", 9*3600)}
	for _, test := range []struct {
		at       time.Time
		weekday  int
		binOfDay int
	}{
		{monday.Add(-9 * time.Hour), 0, 0},
		{monday.Add(-9*time.Hour - time.Second), 6, binsPerDay - 1},
		{monday.Add(15 * time.Hour), 1, 0},
		{time.Date(1969, time.December, 29, 0, 0, 0, 0, grid.location), 0, 0},
	} {
		if got := weekday(grid.day(test.at)); got != test.weekday {
			t.Errorf("weekday of %s: %d, want %d", test.at, got, test.weekday)
		}
		if got := grid.bin(test.at); got != test.weekday*binsPerDay+test.binOfDay {
			t.Errorf("bin of %s: %d", test.at, got)
		}
	}
}

func TestPlanAsksOnlyWhenDue(t *testing.T) {
	plan := NewPlan(NewFixed(10 * time.Minute))
	plan.Describe("a", testTraits, monday)
	plan.Describe("b", testTraits, monday)
	if got := plan.Due(monday); len(got) != 2 || got[0].Replicas != 0 {
		t.Fatalf("first decisions: %+v", got)
	}
	if !plan.Next().IsZero() {
		t.Fatal("idle models are asked about again")
	}
	plan.Observe("a", monday.Add(time.Minute), 1)
	plan.Observe("a", monday.Add(5*time.Minute), 1)
	if got := plan.Due(monday.Add(11 * time.Minute)); len(got) != 1 || got[0] != (Decision{"a", 1}) {
		t.Fatalf("decision before the timeout of the second arrival: %+v", got)
	}
	if got := plan.Due(monday.Add(15 * time.Minute)); len(got) != 1 || got[0] != (Decision{"a", 0}) {
		t.Fatalf("decision at the timeout: %+v", got)
	}
}

// manyModels returns a plan over models that are asked for at random a few times a week.
func manyModels(models int) (*Plan[*Predictive], *Statistics) {
	random := rand.New(rand.NewPCG(1, 2))
	book := NewStatistics(time.UTC)
	plan := NewPlan(NewPredictive(book, Costs{ColdStart: 1, IdleHour: 4}))
	names := make([]string, models)
	for number := range names {
		names[number] = "model-" + string(rune('a'+number%26)) + time.Duration(number).String()
		plan.Describe(names[number], testTraits, monday)
	}
	for at := monday; at.Before(monday.Add(14 * testDay)); at = at.Add(14 * testDay / time.Duration(8*models)) {
		plan.Observe(names[random.IntN(models)], at, 1)
	}
	return plan, book
}

// BenchmarkDue is the cost of a second of decisions over idle models.
func BenchmarkDue(b *testing.B) {
	for _, models := range []int{100, 1_900, 10_000} {
		b.Run(time.Duration(models).String(), func(b *testing.B) {
			plan, _ := manyModels(models)
			now := monday.Add(14 * testDay)
			plan.Due(now)
			decisions := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Second)
				decisions += len(plan.Due(now))
			}
			b.ReportMetric(float64(decisions)/float64(b.N), "decisions/op")
		})
	}
}
