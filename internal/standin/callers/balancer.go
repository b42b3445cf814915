package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// The interval and the timeout of health checks.
const (
	checkInterval = 300 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// balancer selects, in rotation, the daemons whose last health check passed.
type balancer struct {
	daemons []string
	client  *http.Client
	clock   clock.Clock

	mu      sync.Mutex
	healthy map[string]bool
	next    int
}

// monitor checks the health of one daemon until the context ends.
func (b *balancer) monitor(ctx context.Context, daemon string) {
	for ctx.Err() == nil {
		passed := b.check(ctx, daemon)
		b.mu.Lock()
		b.healthy[daemon] = passed
		b.mu.Unlock()
		b.clock.Sleep(checkInterval)
	}
}

func (b *balancer) check(ctx context.Context, daemon string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the next healthy daemon in rotation, or any daemon if none is healthy.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.daemons {
		b.next = (b.next + 1) % len(b.daemons)
		if b.healthy[b.daemons[b.next]] {
			break
		}
	}
	return b.daemons[b.next]
}
