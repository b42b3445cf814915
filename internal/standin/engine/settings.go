package engine

import (
	"cmp"
	"context"
	"time"
)

// The defaults of Settings.
const (
	defaultCapacity     = 80 << 30
	defaultMemoryTier   = 200 << 30
	defaultDiskTier     = 1000 << 30
	defaultMemorySpeed  = 40 << 30
	defaultDiskSpeed    = 8 << 30
	defaultBatch        = 32
	defaultWaiting      = 64
	defaultAdapterSlots = 8
	defaultFirstToken   = 50 * time.Millisecond
	defaultTokenEvery   = 10 * time.Millisecond
	defaultHeartbeat    = 250 * time.Millisecond
	defaultResumeGrace  = 2 * time.Second
	defaultKeepFinished = 30 * time.Second
	defaultRestartAfter = 2 * time.Second
	defaultCrashMark    = "CRASH-THE-ENGINE"
)

// Settings configures an engine. The zero value of a field means its default.
type Settings struct {
	// Name is the name of the VM.
	Name string
	// Release is the release that the engine names; empty means that it names none.
	Release string
	// ChecksFencing makes the engine reject orders with an old fencing number or for another boot.
	ChecksFencing bool
	// Capacity is the accelerator memory in bytes; zero means 80 GiB.
	Capacity int64
	// MemoryTier and DiskTier are the sizes in bytes of the checkpoint caches; zero means 200 GiB and 1000 GiB.
	MemoryTier, DiskTier int64
	// MemorySpeed and DiskSpeed are the bytes per second of a load from a cache; zero means 40 GiB/s and 8 GiB/s.
	MemorySpeed, DiskSpeed int64
	// Batch is the maximum number of concurrent requests of one replica; zero means 32.
	Batch int
	// Waiting is the maximum number of waiting requests of one replica; zero means 64.
	Waiting int
	// AdapterSlots is the number of adapter slots of a replica whose order does not state it; zero means 8.
	AdapterSlots int
	// FirstToken is the time to the first token; zero means 50 ms.
	FirstToken time.Duration
	// TokenEvery is the time between tokens; zero means 10 ms.
	TokenEvery time.Duration
	// Heartbeat is the time without output after which a heartbeat is sent; zero means 250 ms.
	Heartbeat time.Duration
	// ResumeGrace is how long a generation continues without a connection; zero means 2 s.
	ResumeGrace time.Duration
	// KeepFinished is how long a finished generation can be resumed; zero means 30 s.
	KeepFinished time.Duration
	// RestartAfter is the time from a crash to the next boot; zero means 2 s.
	RestartAfter time.Duration
	// CrashMark is the text in a request body that makes the engine crash; empty means CRASH-THE-ENGINE.
	CrashMark string
	// Fetch blocks for the duration of one transfer from the weight store; nil means that transfers take no time.
	Fetch func(ctx context.Context, name string, bytes int64, adapter bool) error
}

func (settings Settings) withDefaults() Settings {
	settings.Capacity = cmp.Or(settings.Capacity, defaultCapacity)
	settings.MemoryTier = cmp.Or(settings.MemoryTier, defaultMemoryTier)
	settings.DiskTier = cmp.Or(settings.DiskTier, defaultDiskTier)
	settings.MemorySpeed = cmp.Or(settings.MemorySpeed, defaultMemorySpeed)
	settings.DiskSpeed = cmp.Or(settings.DiskSpeed, defaultDiskSpeed)
	settings.Batch = cmp.Or(settings.Batch, defaultBatch)
	settings.Waiting = cmp.Or(settings.Waiting, defaultWaiting)
	settings.AdapterSlots = cmp.Or(settings.AdapterSlots, defaultAdapterSlots)
	settings.FirstToken = cmp.Or(settings.FirstToken, defaultFirstToken)
	settings.TokenEvery = cmp.Or(settings.TokenEvery, defaultTokenEvery)
	settings.Heartbeat = cmp.Or(settings.Heartbeat, defaultHeartbeat)
	settings.ResumeGrace = cmp.Or(settings.ResumeGrace, defaultResumeGrace)
	settings.KeepFinished = cmp.Or(settings.KeepFinished, defaultKeepFinished)
	settings.RestartAfter = cmp.Or(settings.RestartAfter, defaultRestartAfter)
	settings.CrashMark = cmp.Or(settings.CrashMark, defaultCrashMark)
	if settings.Fetch == nil {
		settings.Fetch = func(context.Context, string, int64, bool) error { return nil }
	}
	return settings
}
