package decider

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
)

// askStore does what needs the table service before a pass: settles a change without a known
// result, proves senders gone and shares permits.
func (reign *reign) askStore(ctx context.Context) error {
	if reign.away {
		return nil
	}
	if err := reign.settle(ctx); err != nil {
		return reign.failed(err)
	}
	reign.noteOwnReigns()
	if reign.due(&reign.sendersAt, defaultSendersEvery) {
		reign.proveGone(ctx)
	}
	if reign.due(&reign.permitsAt, defaultPermitsEvery) {
		return reign.failed(reign.sharePermits(ctx))
	}
	return nil
}

// proveGone asks for proof that senders of open rows and budgets send no more.
func (reign *reign) proveGone(ctx context.Context) {
	senders := reign.book.OtherSenders()
	if len(senders) == 0 {
		return
	}
	for _, sender := range reign.decider.registry.EndedSenders(ctx, senders) {
		reign.book.MarkSenderEnded(sender, reign.now)
	}
}

// noteHeld notes whether the table service is away. It counts as away after a call without a
// usable answer and after the lease lapsed, until the lease is renewed.
func (reign *reign) noteHeld() {
	_, until, held := reign.decider.deps.Lease.Held()
	switch {
	case !reign.away && !held:
		reign.goAway()
	case reign.away && held && !until.Equal(reign.awayTerm):
		reign.away = false
		event.OutageEnded.Log("DataCentre", reign.decider.settings.DataCentre, "Fence", reign.fence)
	}
}

func (reign *reign) goAway() {
	_, until, _ := reign.decider.deps.Lease.Held()
	reign.away = true
	reign.awayTerm = until
	event.OutageBegan.Log("DataCentre", reign.decider.settings.DataCentre, "Fence", reign.fence)
}

// failed notes a failed call to the table service and returns its error.
func (reign *reign) failed(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, datastore.ErrConflict):
		return err
	default:
		if !reign.away {
			reign.goAway()
		}
		return err
	}
}

// isStale reports whether the reign was refused by the table service and the lease has been
// renewed since, so that what is recorded must be read again.
func (reign *reign) isStale() bool {
	_, until, held := reign.decider.deps.Lease.Held()
	return reign.deposed && held && !until.Equal(reign.awayTerm)
}

// due reports whether the interval has passed since the time, and then moves it to now.
func (reign *reign) due(last *time.Time, interval time.Duration) bool {
	if !last.IsZero() && reign.now.Sub(*last) < interval {
		return false
	}
	*last = reign.now
	return true
}

// noteOwnReigns closes earlier reigns of this process once none of their orders is on its way.
func (reign *reign) noteOwnReigns() {
	for _, sender := range reign.book.OtherSenders() {
		own := sender.Process == reign.sender.Process
		if own && sender.Reign != reign.fence && reign.decider.onTheWay[sender.Reign] == 0 {
			reign.book.MarkSenderEnded(sender, reign.now)
		}
	}
}

// settle finds out whether a change without a known result took effect. The refreshed guard
// makes sure that it cannot take effect later.
func (reign *reign) settle(ctx context.Context) error {
	if reign.pending == nil {
		return nil
	}
	if err := reign.decider.deps.Lease.RefreshFence(ctx); err != nil {
		return err
	}
	took, err := reign.took(ctx, *reign.pending)
	if err != nil {
		return err
	}
	change := *reign.pending
	reign.pending = nil
	if !took {
		return nil
	}
	reign.apply(change)
	if reign.overtaken {
		reign.abandon(change)
	}
	return nil
}

// abandon gives up the orders of a change that were never sent and have been decided anew.
func (reign *reign) abandon(change intent.Change) {
	for _, row := range change.NewIntents {
		if entry := reign.book.Entry(row.ID); entry != nil && entry.Attempts == 0 {
			reign.book.Abandon(row.ID)
		}
	}
}

// took reports whether the change is in the table service.
func (reign *reign) took(ctx context.Context, change intent.Change) (bool, error) {
	if len(change.NewIntents) > 0 {
		return reign.decider.log.Exists(ctx, change.NewIntents[0].ID)
	}
	if len(change.RemovedIDs) > 0 {
		exists, err := reign.decider.log.Exists(ctx, change.RemovedIDs[0])
		return !exists, err
	}
	wanted := slices.Clone(change.TrimmedBudgets)
	if change.Budget != nil {
		wanted = append(wanted, *change.Budget)
	}
	budgets, err := reign.decider.log.Budgets(ctx)
	return err == nil && holdsBudgets(budgets, wanted), err
}

// holdsBudgets reports whether the recorded budgets are as wanted; a wanted one without shares
// must be gone.
func holdsBudgets(recorded, wanted []intent.Budget) bool {
	for _, budget := range wanted {
		at := slices.IndexFunc(recorded, func(other intent.Budget) bool { return other.Fence == budget.Fence })
		if at < 0 && len(budget.Shares) > 0 || at >= 0 && !recorded[at].Equal(budget) {
			return false
		}
	}
	return true
}

func (reign *reign) sharePermits(ctx context.Context) error {
	guard, owned := reign.decider.deps.Lease.Guard()
	if !owned || reign.decider.settings.LoadsAtOnce == 0 {
		return nil
	}
	err := reign.decider.division.Sync(ctx, guard, reign.permitUse())
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	return err
}
