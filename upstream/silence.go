package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// silence ends an exchange on which nothing is heard for the limit while somebody waits to hear.
type silence struct {
	clock clock.Clock
	limit time.Duration
	end   context.CancelFunc
	// since is the time in Unix nanoseconds since when nothing was heard, or zero while nobody waits.
	since atomic.Int64
	fired atomic.Bool
}

func newSilence(clk clock.Clock, limit time.Duration, end context.CancelFunc) *silence {
	return &silence{clock: clk, limit: limit, end: end}
}

// listen begins to wait, or begins anew because something was heard.
func (s *silence) listen() {
	s.since.Store(s.clock.Now().UnixNano())
}

// rest ends the waiting.
func (s *silence) rest() {
	s.since.Store(0)
}

// watch ends the exchange once it is silent. It returns when the context ends.
func (s *silence) watch(ctx context.Context) {
	timer := s.clock.NewTimer(s.limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C():
			left := s.left(now)
			if left <= 0 {
				s.fired.Store(true)
				s.end()
				return
			}
			timer.Reset(left)
		}
	}
}

// left returns the time until the exchange counts as silent.
func (s *silence) left(now time.Time) time.Duration {
	since := s.since.Load()
	if since == 0 {
		return s.limit
	}
	return s.limit - now.Sub(time.Unix(0, since))
}
