package keepwarm

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/agenda"
)

// Decision is the number of replicas of a model that are worth keeping loaded.
type Decision struct {
	// Model is the name of the model.
	Model string
	// Replicas is the number of replicas.
	Replicas int
}

// DecisionQueue evaluates a policy for a model only when the decision may change. Use NewDecisionQueue. It is not
// safe for concurrent use.
type DecisionQueue[P Policy] struct {
	// Policy is the policy that decides. Observations must be made through the queue.
	Policy P
	// known contains the models that were described.
	known map[string]bool
	// checks contains the time of the next decision of each model.
	checks *agenda.Agenda[string]
}

// NewDecisionQueue returns a queue for the policy.
func NewDecisionQueue[P Policy](policy P) *DecisionQueue[P] {
	return &DecisionQueue[P]{Policy: policy, known: map[string]bool{}, checks: agenda.New[string]()}
}

// Describe sets the properties of a model. A new model is decided at the next call of Due.
func (queue *DecisionQueue[P]) Describe(model string, properties Properties, now time.Time) {
	queue.Policy.Describe(model, properties)
	if !queue.known[model] {
		queue.known[model] = true
		queue.checks.Schedule(model, now)
	}
}

// Forget deletes a model that was withdrawn.
func (queue *DecisionQueue[P]) Forget(model string) {
	queue.Policy.Forget(model)
	delete(queue.known, model)
	queue.checks.Schedule(model, time.Time{})
}

// Observe records n arrivals of the model. It causes no decision of its own if the next one is due soon enough.
func (queue *DecisionQueue[P]) Observe(model string, now time.Time, n int) {
	queue.Policy.Observe(model, now, n)
	if !queue.known[model] {
		return
	}
	check, next := queue.checks.At(model), queue.Policy.Next(model, now)
	if !next.IsZero() && (check.IsZero() || next.Before(check)) {
		queue.checks.Schedule(model, next)
	}
}

// Due returns the decisions that are due. Other models cost nothing.
func (queue *DecisionQueue[P]) Due(now time.Time) []Decision {
	var decisions []Decision
	for {
		model, _, ok := queue.checks.Pop(now)
		if !ok {
			return decisions
		}
		decisions = append(decisions, Decision{Model: model, Replicas: queue.Policy.Wanted(model, now)})
		next := queue.Policy.Next(model, now)
		if !next.IsZero() && !next.After(now) {
			next = now.Add(minHeldInterval)
		}
		queue.checks.Schedule(model, next)
	}
}

// Next returns the time at which the next decision is due, or the zero time if there is none.
func (queue *DecisionQueue[P]) Next() time.Time {
	return queue.checks.Next()
}
