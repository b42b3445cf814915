package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/upstream"
)

// The maximum numbers of cached prefixes and of events kept for readers.
const (
	maxCachedPrefixes = 256
	maxEvents         = 4096
)

// cacheEvent is an event of the prefix cache with its time.
type cacheEvent struct {
	upstream.CacheEvent
	// at is the time at which the event was published.
	at time.Time
}

// prefix is one cached prompt prefix.
type prefix struct {
	model, hash string
}

// usePrefix makes the prefix the most recently used in the cache and reports whether it was cached before.
func (server *Server) usePrefix(ownBoot *boot, model, hash string) bool {
	if hash == "" {
		return false
	}
	server.Lock()
	defer server.Unlock()
	entry := prefix{model, hash}
	index := slices.Index(ownBoot.cachedPrefixes, entry)
	if index >= 0 {
		ownBoot.cachedPrefixes = append(slices.Delete(ownBoot.cachedPrefixes, index, index+1), entry)
		return true
	}
	if len(ownBoot.cachedPrefixes) == maxCachedPrefixes {
		server.publish(ownBoot, ownBoot.cachedPrefixes[0], true)
		ownBoot.cachedPrefixes = slices.Delete(ownBoot.cachedPrefixes, 0, 1)
	}
	ownBoot.cachedPrefixes = append(ownBoot.cachedPrefixes, entry)
	server.publish(ownBoot, entry, false)
	return false
}

// publish appends an event and drops the oldest beyond maxEvents. The caller must hold the mutex.
func (server *Server) publish(ownBoot *boot, entry prefix, evicted bool) {
	var sequence uint64 = 1
	if last := len(ownBoot.events); last > 0 {
		sequence = ownBoot.events[last-1].Sequence + 1
	}
	if len(ownBoot.events) == maxEvents {
		ownBoot.events = slices.Delete(ownBoot.events, 0, 1)
	}
	ownBoot.events = append(ownBoot.events, cacheEvent{
		CacheEvent: upstream.CacheEvent{Sequence: sequence, Model: entry.model, Prefix: entry.hash, Evicted: evicted},
		at:         server.clock.Now(),
	})
}

func (server *Server) serveEvents(writer http.ResponseWriter, request *http.Request) {
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
