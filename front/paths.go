package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/roster"
)

// pathObserver records which replicas this daemon reaches.
type pathObserver struct {
	daemon *Daemon
}

// Reached records a proof of the path to a replica.
func (observer pathObserver) Reached(key string) {
	daemon := observer.daemon
	if key == daemon.settings.StoreAddress {
		return
	}
	now := daemon.clock.Now()
	since, _ := daemon.paths.IsCutOff()
	if daemon.paths.Reached(key, now) == reach.Back {
		event.PathsBack.Log("Daemon", daemon.settings.Name, "Replica", key, "For", now.Sub(since))
	}
}

// Lost records that a connection to a replica could not be opened.
func (observer pathObserver) Lost(key string, begun time.Time) {
	daemon := observer.daemon
	if key == daemon.settings.StoreAddress {
		return
	}
	if daemon.paths.Lost(key, begun, daemon.clock.Now()) == reach.CutOff {
		event.PathsLost.Log("Daemon", daemon.settings.Name, "Replica", key, "Lost", daemon.paths.LostCount())
	}
}

// keepPaths drops the paths to replicas that are not among the entries.
func (daemon *Daemon) keepPaths(entries []roster.Entry) {
	keys := make(map[string]bool, len(entries))
	for index := range entries {
		keys[platform.ConnectionKey(entries[index].Replica.Incarnation, entries[index].Replica.Address)] = true
	}
	daemon.paths.Keep(keys)
}
