package bookstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/agenda"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// defaultSaveEvery is the default of Settings.SaveEvery.
const defaultSaveEvery = 10 * time.Minute

// Settings configures a Keeper. The zero value of a field means its default.
type Settings struct {
	// Saver names this process.
	Saver string
	// Costs are the costs that decisions weigh.
	Costs keepwarm.Costs
	// Location is the time zone in which days begin; nil means UTC.
	Location *time.Location
	// SaveEvery is the interval at which all parts are saved, one after the other; zero means 10 min.
	SaveEvery time.Duration
}

// Learner runs the learnt policy for one data centre, and loads and saves its
// book. Use NewKeeper. Its methods may be called from several goroutines.
type Learner struct {
	settings Settings
	store    *Store
	clock    clock.WithTicker

	mutex  sync.Mutex
	book   *keepwarm.Statistics
	learnt *keepwarm.Predictive
	// checks holds when the answer of a model must be computed again.
	checks *agenda.Agenda[string]
	// wanted holds the answers above zero.
	wanted map[string]int
}

// NewLearner returns a keeper that has learnt nothing.
func NewLearner(settings Settings, store *Store, clock clock.WithTicker) *Learner {
	if settings.Location == nil {
		settings.Location = time.UTC
	}
	if settings.SaveEvery == 0 {
		settings.SaveEvery = defaultSaveEvery
	}
	// Each keeper counts its changes from one, so two of one process must not have one name.
	settings.Saver = fmt.Sprintf("%s/%d", settings.Saver, clock.Now().UnixNano())
	book := keepwarm.NewStatistics(settings.Location)
	return &Learner{
		settings: settings,
		store:    store,
		clock:    clock,
		book:     book,
		learnt:   keepwarm.NewPredictive(book, settings.Costs),
		checks:   agenda.New[string](),
		wanted:   map[string]int{},
	}
}

// Describe sets the traits of a model; a model without traits is not wanted.
func (keeper *Learner) Describe(model string, traits keepwarm.Properties) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.learnt.Describe(model, traits)
}

// Forget drops a model that was withdrawn.
func (keeper *Learner) Forget(model string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.learnt.Forget(model)
	keeper.drop(model)
}

// drop makes the next answer be computed anew. The caller holds the mutex.
func (keeper *Learner) drop(model string) {
	delete(keeper.wanted, model)
	keeper.checks.Schedule(model, time.Time{})
}

// Observe notes n arrivals of a model.
func (keeper *Learner) Observe(model string, n int) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	now := keeper.clock.Now()
	keeper.learnt.Observe(model, now, n)
	if next := keeper.learnt.Next(model, now); keeper.checks.At(model).After(next) {
		keeper.checks.Schedule(model, next)
	}
	if keeper.wanted[model] == 0 {
		keeper.drop(model)
	}
}

// Wanted returns the number of replicas that are worth holding. It costs two
// look-ups unless the answer may have changed since the last call.
func (keeper *Learner) Wanted(model string, now time.Time) int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.checks.At(model).After(now) {
		return keeper.wanted[model]
	}
	wanted := keeper.learnt.Wanted(model, now)
	keeper.drop(model)
	if wanted > 0 {
		keeper.wanted[model] = wanted
	}
	keeper.checks.Schedule(model, keeper.learnt.Next(model, now))
	return wanted
}

// Run loads the book and saves what is learnt until the context ends. While the
// platform is away it goes on with what it has and tries again.
func (keeper *Learner) Run(ctx context.Context) error {
	ticker := keeper.clock.NewTicker(keeper.settings.SaveEvery / keepwarm.Parts)
	defer ticker.Stop()
	loaded := keeper.load(ctx)
	var pending *keepwarm.Change
	for part := 0; ; part = (part + 1) % keepwarm.Parts {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		if !loaded {
			loaded = keeper.load(ctx)
			continue
		}
		if pending == nil {
			pending = keeper.take(part)
		}
		if pending != nil && keeper.save(ctx, *pending) {
			pending = nil
		}
	}
}

// load adds what is stored to the book and reports whether it could be read.
func (keeper *Learner) load(ctx context.Context) bool {
	parts, err := keeper.store.Read(ctx)
	if err != nil {
		event.BookNotLoaded.LogError(err)
		return false
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, part := range parts {
		if err := keeper.book.Restore(part); err != nil {
			event.BookDamaged.LogError(err)
		}
	}
	event.BookLoaded.Log("Parts", len(parts), "Models", keeper.book.Models())
	return true
}

func (keeper *Learner) take(part int) *keepwarm.Change {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	change, ok := keeper.book.TakeChange(part, keeper.settings.Saver)
	if !ok {
		return nil
	}
	return &change
}

// save reports whether the change is stored.
func (keeper *Learner) save(ctx context.Context, change keepwarm.Change) bool {
	err := keeper.store.Save(ctx, change)
	if err != nil {
		event.BookNotSaved.LogError(err, "Part", change.Part)
	}
	return err == nil
}
