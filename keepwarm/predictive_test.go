package keepwarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// monday is the midnight at which the first day of the tests begins.
var monday = time.Date(2026, time.September, 7, 0, 0, 0, 0, time.UTC)

const testDay = 24 * time.Hour

var testProperties = Properties{Accelerators: 1, ColdStart: 30 * time.Second}

// observeMornings records ten arrivals from 05:00 on each day.
func observeMornings(policy Policy, model string, days int) {
	for day := range days {
		for number := range 10 {
			policy.Observe(model, monday.Add(time.Duration(day)*testDay+5*time.Hour+time.Duration(number)*2*time.Minute), 1)
		}
	}
}

func TestPredictiveKeepsModelOnlyAroundForecastArrivals(t *testing.T) {
	policy := NewPredictive(NewStatistics(time.UTC), Costs{ColdStart: 1, IdleHour: 20})
	policy.Describe("planner", testProperties)
	observeMornings(policy, "planner", 7)
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
		if got := policy.Wanted("planner", monday.Add(6*testDay+test.at)); got != test.wanted {
			t.Errorf("wanted at %s: %d, want %d", test.at, got, test.wanted)
		}
	}
}

func TestPredictiveWeighsCosts(t *testing.T) {
	heldMinutes := func(costs Costs, properties Properties) int {
		policy := NewPredictive(NewStatistics(time.UTC), costs)
		policy.Describe("planner", properties)
		observeMornings(policy, "planner", 14)
		held := 0
		for minute := range 24 * 60 {
			held += policy.Wanted("planner", monday.Add(14*testDay+time.Duration(minute)*time.Minute))
		}
		return held
	}
	base := heldMinutes(Costs{ColdStart: 1, IdleHour: 8}, testProperties)
	for _, test := range []struct {
		name    string
		minutes int
		more    bool
	}{
		{"higher cost of a cold start", heldMinutes(Costs{ColdStart: 20, IdleHour: 8}, testProperties), true},
		{"higher cost of an idle hour", heldMinutes(Costs{ColdStart: 1, IdleHour: 200}, testProperties), false},
		{"more accelerators", heldMinutes(Costs{ColdStart: 1, IdleHour: 8}, Properties{Accelerators: 8, ColdStart: 30 * time.Second}), false},
		{"checkpoint in memory", heldMinutes(Costs{ColdStart: 1, IdleHour: 8}, Properties{Accelerators: 1, ColdStart: time.Second}), false},
	} {
		if test.more && test.minutes <= base || !test.more && test.minutes >= base {
			t.Errorf("%s: held %d minutes, base %d", test.name, test.minutes, base)
		}
	}
}

func TestPredictiveToleratesBadInput(t *testing.T) {
	policy := NewPredictive(NewStatistics(time.UTC), Costs{ColdStart: 1, IdleHour: 1})
	if policy.Wanted("unknown", monday) != 0 || !policy.Next("unknown", monday).IsZero() {
		t.Error("a model without properties is wanted")
	}
	policy.Describe("planner", testProperties)
	policy.Observe("planner", monday, 0)
	if policy.statistics.Models() != 0 {
		t.Error("zero arrivals created a history")
	}
	policy.Observe("planner", monday.Add(time.Hour), 1)
	policy.Observe("planner", monday, 1)
	if got := policy.statistics.histories["planner"].last; !got.Equal(monday.Add(time.Hour)) {
		t.Errorf("last arrival after the clock went back: %s", got)
	}
	if policy.Wanted("planner", monday.Add(time.Hour)) != 1 {
		t.Error("a model that was just requested is not wanted")
	}
	policy.Forget("planner")
	if policy.Wanted("planner", monday.Add(time.Hour)) != 0 {
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

func TestQueueDecidesOnlyWhenDue(t *testing.T) {
	queue := NewDecisionQueue(NewFixed(10 * time.Minute))
	queue.Describe("a", testProperties, monday)
	queue.Describe("b", testProperties, monday)
	if got := queue.Due(monday); len(got) != 2 || got[0].Replicas != 0 {
		t.Fatalf("first decisions: %+v", got)
	}
	if !queue.Next().IsZero() {
		t.Fatal("another decision is due for idle models")
	}
	queue.Observe("a", monday.Add(time.Minute), 1)
	queue.Observe("a", monday.Add(5*time.Minute), 1)
	if got := queue.Due(monday.Add(11 * time.Minute)); len(got) != 1 || got[0] != (Decision{"a", 1}) {
		t.Fatalf("decision before the timeout of the second arrival: %+v", got)
	}
	if got := queue.Due(monday.Add(15 * time.Minute)); len(got) != 1 || got[0] != (Decision{"a", 0}) {
		t.Fatalf("decision at the timeout: %+v", got)
	}
}

// manyModels returns a queue over models that are requested at random times, a few times a week.
func manyModels(models int) (*DecisionQueue[*Predictive], *Statistics) {
	random := rand.New(rand.NewPCG(1, 2))
	statistics := NewStatistics(time.UTC)
	queue := NewDecisionQueue(NewPredictive(statistics, Costs{ColdStart: 1, IdleHour: 4}))
	names := make([]string, models)
	for number := range names {
		names[number] = "model-" + string(rune('a'+number%26)) + time.Duration(number).String()
		queue.Describe(names[number], testProperties, monday)
	}
	for at := monday; at.Before(monday.Add(14 * testDay)); at = at.Add(14 * testDay / time.Duration(8*models)) {
		queue.Observe(names[random.IntN(models)], at, 1)
	}
	return queue, statistics
}

// BenchmarkDue measures the decisions of one second over idle models.
func BenchmarkDue(b *testing.B) {
	for _, models := range []int{100, 1_900, 10_000} {
		b.Run(time.Duration(models).String(), func(b *testing.B) {
			queue, _ := manyModels(models)
			now := monday.Add(14 * testDay)
			queue.Due(now)
			decisions := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Second)
				decisions += len(queue.Due(now))
			}
			b.ReportMetric(float64(decisions)/float64(b.N), "decisions/op")
		})
	}
}
