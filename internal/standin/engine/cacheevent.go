package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/upstream"
)

// The bounds of the prefix cache and of the events kept for readers.
const (
	cachedPrefixes = 256
	keptEvents     = 4096
)

// cacheEvent is a cache event with its time.
type cacheEvent struct {
	upstream.CacheEvent
	// at is the time of the event.
	at time.Time
}

// prefix is one cached prompt prefix.
type prefix struct {
	model, hash string
}

// usePrefix caches the prefix as the most recently used and reports whether it was cached before.
func (server *Server) usePrefix(life *boot, model, hash string) bool {
	if hash == "" {
		return false
	}
	server.Lock()
	defer server.Unlock()
	entry := prefix{model, hash}
	at := slices.Index(life.cached, entry)
	if at >= 0 {
		life.cached = append(slices.Delete(life.cached, at, at+1), entry)
		return true
	}
	if len(life.cached) == cachedPrefixes {
		server.publish(life, life.cached[0], true)
		life.cached = slices.Delete(life.cached, 0, 1)
	}
	life.cached = append(life.cached, entry)
	server.publish(life, entry, false)
	return false
}

// publish adds an event and forgets the oldest beyond the bound. The lock is held.
func (server *Server) publish(life *boot, entry prefix, evicted bool) {
	var sequence uint64 = 1
	if last := len(life.events); last > 0 {
		sequence = life.events[last-1].Sequence + 1
	}
	if len(life.events) == keptEvents {
		life.events = slices.Delete(life.events, 0, 1)
	}
	life.events = append(life.events, cacheEvent{
		CacheEvent: upstream.CacheEvent{Sequence: sequence, Model: entry.model, Prefix: entry.hash, Evicted: evicted},
		at:         server.clock.Now(),
	})
}

func (server *Server) showEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	server.Lock()
	lag := time.Duration(server.ActiveFaults.EventLagMilliseconds) * time.Millisecond
	now := server.clock.Now()
	found := []upstream.CacheEvent{}
	for _, event := range server.boot.events {
		gap := server.ActiveFaults.EventGap > 0 && event.Sequence%server.ActiveFaults.EventGap == 0
		if event.Sequence > after && !gap && now.Sub(event.at) >= lag {
			found = append(found, event.CacheEvent)
		}
	}
	bootID := server.boot.id
	server.Unlock()
	answer.JSON(writer, http.StatusOK, struct {
		BootID string `json:"BootId"`
		Events []upstream.CacheEvent
	}{bootID, found})
}
