package decider

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
)

// reign is what the decider knows under one fencing number.
type reign struct {
	decider *Decider
	fence   uint64
	// began is a time after the rows of predecessors were read.
	began time.Time
	// asked states that engines were asked for their states.
	asked  bool
	sender intent.Sender
	book   *intent.Tracker
	// budget is the budget in the table service.
	budget   intent.Budget
	budgetAt time.Time
	// pending is a change whose commit has no known result, or nil.
	pending *intent.Change
	// overtaken states that loads were decided without the table service since then.
	overtaken bool
	// away states that the table service gave no usable answer. It ends when the lease was
	// renewed, that is when its term no longer ends at awayTerm.
	away     bool
	awayTerm time.Time
	// deposed states that a transaction was refused because of the lease.
	deposed bool
	// met has the upstreams whose replicas were compared with the rows once.
	met map[string]bool
	// blindLogged states that the engines that did not answer yet were logged.
	blindLogged bool
	// uses has the last use of each replica that is shown.
	uses map[intent.ReplicaKey]time.Time
	// missing tells since when upstreams with entries have been left out of the views.
	missing  map[string]time.Time
	failures map[string]failure
	// cursor is the place in the catalogue up to which models were asked for wishes, and warm the wishes found.
	cursor    int
	warm      map[string]int
	sendersAt time.Time
	permitsAt time.Time
	statusAt  time.Time
	// touched tells when the fencing number was last sent to an upstream.
	touched map[string]time.Time
	// settled tells when an engine refused an order or did an unload, until a newer view of it is there.
	settled  map[subject]time.Time
	outlooks map[string]outlookAt
	needs    []placement.Need
	// wanted has the models that routers ask for or that are to be warm, with the number of replicas.
	machines  []placement.Upstream
	catalogue Catalogue
	now       time.Time
}

// failure tells of the failed loads of a model.
type failure struct {
	count int
	until time.Time
}

// recover reads the intents and budgets that predecessors left.
func (decider *Decider) recover(ctx context.Context, fence uint64) (*reign, error) {
	intents, err := decider.log.Intents(ctx)
	if err != nil {
		return nil, err
	}
	budgets, err := decider.log.Budgets(ctx)
	if err != nil {
		return nil, err
	}
	sender := decider.settings.Sender
	sender.Reign = fence
	began := &reign{
		decider:  decider,
		fence:    fence,
		sender:   sender,
		book:     intent.NewTracker(sender, decider.settings.Linger),
		met:      map[string]bool{},
		uses:     map[intent.ReplicaKey]time.Time{},
		missing:  map[string]time.Time{},
		failures: map[string]failure{},
		warm:     map[string]int{},
		touched:  map[string]time.Time{},
		settled:  map[subject]time.Time{},
		outlooks: map[string]outlookAt{},
	}
	now := decider.deps.Clock.Now()
	began.began = now
	for _, row := range intents {
		began.book.Add(row, true, now)
	}
	for _, budget := range budgets {
		began.book.AddBudget(budget, now)
	}
	event.DeciderRecovered.Log("DataCentre", decider.settings.DataCentre, "Fence", fence, "Intents", len(intents), "Budgets", len(budgets))
	return began, nil
}

func (reign *reign) step(ctx context.Context) error {
	reign.now = reign.decider.deps.Clock.Now()
	reign.catalogue = reign.decider.deps.Catalogue()
	reign.needs = reign.decider.needs(reign.now)
	reign.outlooks = map[string]outlookAt{}
	reign.noteHeld()
	reign.observe()
	reign.askEngines(ctx)
	reign.touch(ctx)
	reign.wish()
	err := reign.askStore(ctx)
	if reign.lost() {
		return err
	}
	result := reign.pass()
	reign.noteOutlooks(result.Outlooks)
	if decideErr := reign.decide(ctx, reign.unsettled(result.Decisions)); decideErr != nil {
		err = decideErr
	}
	reign.sendOpen(ctx)
	reign.check()
	reign.decider.publish(reign)
	return err
}

// lost reports whether the lease was lost to another process during the step.
func (reign *reign) lost() bool {
	fence, owned := reign.decider.deps.Lease.Owned()
	return !owned || fence != reign.fence || reign.deposed
}
