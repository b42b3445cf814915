package learner

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

const defaultSaveEvery = 10 * time.Minute

// Settings configures a Learner. The zero value of a field means its default.
type Settings struct {
	// Saver is the name of this process.
	Saver string
	// Costs are the costs that decisions weigh against each other.
	Costs keepwarm.Costs
	// Location is the time zone in which days begin; nil means UTC.
	Location *time.Location
	// SaveEvery is the interval in which all parts are saved, one after another; zero means 10 min.
	SaveEvery time.Duration
}

// Learner runs the predictive policy for one data centre, and loads and saves its statistics. Use New. It is
// safe for concurrent use.
type Learner struct {
	settings Settings
	store    *Store
	clock    clock.WithTicker

	mutex      sync.Mutex
	statistics *keepwarm.Statistics
	policy     *keepwarm.Predictive
	// checks contains the time at which the cached result of a model must be computed again.
	checks *agenda.Agenda[string]
	// wanted caches the results above zero.
	wanted map[string]int
}

// New returns a learner with empty statistics.
func New(settings Settings, store *Store, clock clock.WithTicker) *Learner {
	if settings.Location == nil {
		settings.Location = time.UTC
	}
	if settings.SaveEvery == 0 {
		settings.SaveEvery = defaultSaveEvery
	}
	// Each learner numbers its changes from one, so two learners of one process must have different names.
	settings.Saver = fmt.Sprintf("%s/%d", settings.Saver, clock.Now().UnixNano())
	statistics := keepwarm.NewStatistics(settings.Location)
	return &Learner{
		settings:   settings,
		store:      store,
		clock:      clock,
		statistics: statistics,
		policy:     keepwarm.NewPredictive(statistics, settings.Costs),
		checks:     agenda.New[string](),
		wanted:     map[string]int{},
	}
}

// Describe sets the properties of a model; a model without properties is not wanted.
func (learner *Learner) Describe(model string, properties keepwarm.Properties) {
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	learner.policy.Describe(model, properties)
}

// Forget deletes a model that was withdrawn.
func (learner *Learner) Forget(model string) {
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	learner.policy.Forget(model)
	learner.invalidate(model)
}

// invalidate discards the cached result of a model. The caller holds the mutex.
func (learner *Learner) invalidate(model string) {
	delete(learner.wanted, model)
	learner.checks.Schedule(model, time.Time{})
}

// Observe records n arrivals of a model.
func (learner *Learner) Observe(model string, n int) {
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	now := learner.clock.Now()
	learner.policy.Observe(model, now, n)
	if next := learner.policy.Next(model, now); learner.checks.At(model).After(next) {
		learner.checks.Schedule(model, next)
	}
	if learner.wanted[model] == 0 {
		learner.invalidate(model)
	}
}

// Wanted returns the number of replicas that are worth keeping loaded. It costs two look-ups unless the result may
// have changed since the last call.
func (learner *Learner) Wanted(model string, now time.Time) int {
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	if learner.checks.At(model).After(now) {
		return learner.wanted[model]
	}
	wanted := learner.policy.Wanted(model, now)
	learner.invalidate(model)
	if wanted > 0 {
		learner.wanted[model] = wanted
	}
	learner.checks.Schedule(model, learner.policy.Next(model, now))
	return wanted
}

// Run loads the statistics and saves changes until the context ends. While the platform is unavailable it continues
// with the statistics in memory and retries.
func (learner *Learner) Run(ctx context.Context) error {
	ticker := learner.clock.NewTicker(learner.settings.SaveEvery / keepwarm.Parts)
	defer ticker.Stop()
	loaded := learner.load(ctx)
	var pending *keepwarm.Change
	for part := 0; ; part = (part + 1) % keepwarm.Parts {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		if !loaded {
			loaded = learner.load(ctx)
			continue
		}
		if pending == nil {
			pending = learner.takeChange(part)
		}
		if pending != nil && learner.save(ctx, *pending) {
			pending = nil
		}
	}
}

// load adds the stored statistics and reports whether they could be read.
func (learner *Learner) load(ctx context.Context) bool {
	parts, err := learner.store.Read(ctx)
	if err != nil {
		event.BookNotLoaded.LogError(err)
		return false
	}
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	for _, part := range parts {
		if err := learner.statistics.Restore(part); err != nil {
			event.BookDamaged.LogError(err)
		}
	}
	event.BookLoaded.Log("Parts", len(parts), "Models", learner.statistics.Models())
	return true
}

func (learner *Learner) takeChange(part int) *keepwarm.Change {
	learner.mutex.Lock()
	defer learner.mutex.Unlock()
	change, ok := learner.statistics.TakeChange(part, learner.settings.Saver)
	if !ok {
		return nil
	}
	return &change
}

// save saves the change and reports whether that succeeded.
func (learner *Learner) save(ctx context.Context, change keepwarm.Change) bool {
	err := learner.store.Save(ctx, change)
	if err != nil {
		event.BookNotSaved.LogError(err, "Part", change.Part)
	}
	return err == nil
}
