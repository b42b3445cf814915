package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// The interval of health checks and the time that a daemon has to pass one.
const (
	checkEvery   = 300 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
)

// balancer hands out the daemons in turn whose health check passed last.
type balancer struct {
	daemons []string
	client  *http.Client
	clock   clock.Clock

	mu      sync.Mutex
	healthy map[string]bool
	next    int
}

// watch checks every daemon until the context ends.
func (b *balancer) watch(ctx context.Context, daemon string) {
	for ctx.Err() == nil {
		passed := b.check(ctx, daemon)
		b.mu.Lock()
		b.healthy[daemon] = passed
		b.mu.Unlock()
		b.clock.Sleep(checkEvery)
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

// pick returns the next healthy daemon, or any if none is healthy.
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
