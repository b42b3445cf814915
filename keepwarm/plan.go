package keepwarm

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/agenda"
)

// Decision is the number of replicas that a model is worth.
type Decision struct {
	// Model is the name of the model.
	Model string
	// Replicas is the number of replicas.
	Replicas int
}

// Plan asks a policy about a model only when its decision may change. Use
// NewPlan. It is not safe for concurrent use.
type Plan[P Policy] struct {
	// Policy is the policy asked. Observations must go through the plan.
	Policy P
	// known holds the models that were described.
	known map[string]bool
	// checks holds the time of the next decision of each model.
	checks *agenda.Agenda[string]
}

// NewPlan returns a plan over the policy.
func NewPlan[P Policy](policy P) *Plan[P] {
	return &Plan[P]{Policy: policy, known: map[string]bool{}, checks: agenda.New[string]()}
}

// Describe sets the traits of a model, and asks about it at the next Due if it is new.
func (plan *Plan[P]) Describe(model string, traits Properties, now time.Time) {
	plan.Policy.Describe(model, traits)
	if !plan.known[model] {
		plan.known[model] = true
		plan.checks.Schedule(model, now)
	}
}

// Forget drops a model that was withdrawn.
func (plan *Plan[P]) Forget(model string) {
	plan.Policy.Forget(model)
	delete(plan.known, model)
	plan.checks.Schedule(model, time.Time{})
}

// Observe notes n arrivals of the model. It costs no decision while the next
// one is due soon enough.
func (plan *Plan[P]) Observe(model string, now time.Time, n int) {
	plan.Policy.Observe(model, now, n)
	if !plan.known[model] {
		return
	}
	check, next := plan.checks.At(model), plan.Policy.Next(model, now)
	if !next.IsZero() && (check.IsZero() || next.Before(check)) {
		plan.checks.Schedule(model, next)
	}
}

// Due returns the decisions of the models whose time has come. It costs
// nothing for the others.
func (plan *Plan[P]) Due(now time.Time) []Decision {
	var decisions []Decision
	for {
		model, _, ok := plan.checks.Pop(now)
		if !ok {
			return decisions
		}
		decisions = append(decisions, Decision{Model: model, Replicas: plan.Policy.Wanted(model, now)})
		next := plan.Policy.Next(model, now)
		if !next.IsZero() && !next.After(now) {
			next = now.Add(leastPause)
		}
		plan.checks.Schedule(model, next)
	}
}

// Next returns the time at which Due has something to do, or the zero time.
func (plan *Plan[P]) Next() time.Time {
	return plan.checks.Next()
}
