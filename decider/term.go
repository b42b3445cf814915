package decider

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
)

// term is the state of the decider under one fencing number.
type term struct {
	decider *Decider
	fence   uint64
	// recoveredAt is a time after the rows of former holders were read.
	recoveredAt time.Time
	// queried states that the engines were queried for their states.
	queried bool
	sender  intent.Sender
	tracker *intent.Tracker
	// budget is the budget in the table service.
	budget          intent.Budget
	budgetUpdatedAt time.Time
	// pending is a change whose commit has an unknown result, or nil.
	pending *intent.Change
	// decidedInOutage states that loads were decided during an outage since that commit.
	decidedInOutage bool
	// outage states that the table service gave no usable response. It ends when the lease was
	// renewed, that is, when the lease no longer expires at failureExpiry.
	outage        bool
	failureExpiry time.Time
	// commitRefused states that a transaction was refused because of the lease.
	commitRefused bool
	// seen holds the upstreams whose replicas were compared with the rows at least once.
	seen map[string]bool
	// unseenLogged states that the engines that have not responded yet were logged.
	unseenLogged bool
	// lastUsed is the time of the last use of each replica that is shown.
	lastUsed map[intent.ReplicaKey]time.Time
	// missingSince is the time since when upstreams with entries have been missing from the
	// views.
	missingSince map[string]time.Time
	failures     map[string]failure
	// warmCursor is the position in the catalogue of the next model to evaluate for keeping warm;
	// warm holds the numbers of replicas to keep loaded.
	warmCursor       int
	warm             map[string]int
	sendersCheckedAt time.Time
	permitsSyncedAt  time.Time
	statusUpdatedAt  time.Time
	// touchedAt is the time at which the fencing number was last sent to an upstream.
	touchedAt map[string]time.Time
	// settled is the time at which an engine refused an order or did one other than a load; it
	// is kept until a newer view of the engine arrives.
	settled      map[subject]time.Time
	estimates    map[string]timedEstimate
	totalDemands []placement.ModelDemand
	// engines is the upstreams of the placement input; its memory is used again in each step.
	engines   []placement.Upstream
	catalogue Catalogue
	now       time.Time
}

// failure holds the number of consecutive failed loads of a model and the end of its backoff.
type failure struct {
	count int
	until time.Time
}

// recover reads the intents and budgets of former holders and returns a new term.
func (decider *Decider) recover(ctx context.Context, fence uint64) (*term, error) {
	rows, err := decider.log.Intents(ctx)
	if err != nil {
		return nil, err
	}
	budgets, err := decider.log.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	sender := decider.settings.Sender
	sender.Reign = fence
	recovered := &term{
		decider:      decider,
		fence:        fence,
		sender:       sender,
		tracker:      intent.NewTracker(sender, decider.settings.OrderLifetime),
		seen:         map[string]bool{},
		lastUsed:     map[intent.ReplicaKey]time.Time{},
		missingSince: map[string]time.Time{},
		failures:     map[string]failure{},
		warm:         map[string]int{},
		touchedAt:    map[string]time.Time{},
		settled:      map[subject]time.Time{},
		estimates:    map[string]timedEstimate{},
	}
	now := decider.deps.Clock.Now()
	recovered.recoveredAt = now
	for _, row := range rows {
		recovered.tracker.Add(row, true, now)
	}
	for _, budget := range budgets {
		recovered.tracker.AddBudget(budget, now)
	}
	event.DeciderRecovered.Log("DataCentre", decider.settings.DataCentre, "Fence", fence, "Intents", len(rows), "Budgets", len(budgets))
	return recovered, nil
}

func (term *term) step(ctx context.Context) error {
	term.now = term.decider.deps.Clock.Now()
	term.catalogue = term.decider.deps.Catalogue()
	term.totalDemands = term.decider.totalDemands(term.now)
	term.estimates = map[string]timedEstimate{}
	term.updateOutage()
	term.observe()
	term.queryEngines(ctx)
	term.touch(ctx)
	term.updateWarm()
	err := term.syncStore(ctx)
	if term.hasLostLease() {
		return err
	}
	result := term.pass()
	term.updateEstimates(result.LoadEstimates)
	if decideErr := term.decide(ctx, term.dropSettled(result.Decisions)); decideErr != nil {
		err = decideErr
	}
	term.sendOpen(ctx)
	term.checkInvariants()
	term.decider.publish(term)
	return err
}

// hasLostLease reports whether the lease was lost to another process during the step.
func (term *term) hasLostLease() bool {
	fence, owned := term.decider.deps.Lease.Owned()
	return !owned || fence != term.fence || term.commitRefused
}
