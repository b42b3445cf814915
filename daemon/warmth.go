package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/settings"
)

// warmth joins the keep-warm policy with the catalogue in force.
type warmth struct {
	clock clock.Clock
	state inForce
	mutex sync.Mutex
}

func newWarmth(_ settings.Settings, _ platform.Objects, clock clock.Clock, state inForce) *warmth {
	return &warmth{clock: clock, state: state}
}

// Observe adds arrivals of a model.
func (warmth *warmth) Observe(catalogue.Target, int) {}

// Wanted returns the number of replicas of the model to keep loaded now.
func (warmth *warmth) Wanted(string, time.Time) int { return 0 }

func (warmth *warmth) run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
