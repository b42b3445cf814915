package engine

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/upstream"
)

// Server is one simulated engine. It is safe for concurrent use. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	settings Settings
	clock    clock.WithTicker
	mux      *http.ServeMux

	boot  *boot
	boots int
	disk  tier
}

// New returns an engine in its first boot. Call Close to release it.
func New(settings Settings, clk clock.WithTicker) *Server {
	settings = settings.withDefaults()
	server := &Server{
		settings: settings,
		clock:    clk,
		mux:      http.NewServeMux(),
		disk:     tier{capacity: settings.DiskTier},
	}
	server.Recorded = Counts{Executions: map[string]int{}, Refused: map[string]int{}, Loads: map[string]int{}, CrashedBy: map[string]int{}}
	server.boot = server.newBoot(clk.Now())
	server.mux.HandleFunc("GET /engine/state", server.serveState)
	server.mux.HandleFunc("POST /engine/orders", server.serveOrder)
	server.mux.HandleFunc("GET /engine/events", server.serveEvents)
	server.mux.HandleFunc("POST /engine/kv/export", server.exportKV)
	server.mux.HandleFunc("POST /engine/kv/import", server.importKV)
	server.mux.HandleFunc("POST /v1/chat/completions", server.serveGeneration)
	server.mux.HandleFunc("POST /v1/completions", server.serveGeneration)
	server.Handle(server.mux, "", server.Counts)
	server.mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { server.Crash() })
	return server
}

// Close aborts all requests and loads in flight.
func (server *Server) Close() {
	server.Lock()
	defer server.Unlock()
	server.boot.cancel()
}

// ServeHTTP serves one request and returns its request identifier in the header. While the engine restarts, it
// aborts the connections of requests to the engine and its models.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	external := strings.HasPrefix(request.URL.Path, "/engine/") || strings.HasPrefix(request.URL.Path, "/v1/")
	if external && server.isDown() {
		answer.AbortConnection()
	}
	if id := request.Header.Get("X-Request-Id"); id != "" {
		writer.Header().Set("X-Request-Id", id)
	}
	server.mux.ServeHTTP(writer, request)
}

func (server *Server) isDown() bool {
	server.Lock()
	defer server.Unlock()
	return server.clock.Now().Before(server.boot.readyAt)
}

// Crash aborts everything in flight and starts the next boot, which accepts requests after Settings.RestartAfter.
func (server *Server) Crash() {
	server.Lock()
	defer server.Unlock()
	server.crash()
}

// crash starts the next boot. The caller must hold the mutex.
func (server *Server) crash() {
	server.boot.cancel()
	server.boot = server.newBoot(server.clock.Now().Add(server.settings.RestartAfter))
	server.Recorded.Crashes++
}

// crashBy crashes the engine and records the request that caused it, unless the boot of the request has ended.
func (server *Server) crashBy(ownBoot *boot, j *job) {
	server.Lock()
	defer server.Unlock()
	if ownBoot != server.boot {
		return
	}
	server.Recorded.CrashedBy[j.digest]++
	server.crash()
}

// CacheCheckpoint adds a checkpoint to the caches of the given tier and the slower ones.
func (server *Server) CacheCheckpoint(model, version string, bytes int64, where upstream.Tier) {
	server.Lock()
	defer server.Unlock()
	name := upstream.CheckpointKey(model, version)
	if where == upstream.Memory {
		server.boot.memory.put(name, bytes)
	}
	if where != upstream.Remote {
		server.disk.put(name, bytes)
	}
}

// AddReplica adds a ready replica of a model, written as model@version, which occupies no memory.
func (server *Server) AddReplica(name string) {
	model, version, _ := strings.Cut(name, "@")
	server.Lock()
	defer server.Unlock()
	server.boot.replicas[name] = &replica{
		model: model, version: version, phase: upstream.Ready, slots: server.settings.AdapterSlots,
	}
}

// Counts returns a copy of the counters.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	counts := server.Recorded
	counts.Executions = maps.Clone(counts.Executions)
	counts.Refused = maps.Clone(counts.Refused)
	counts.Loads = maps.Clone(counts.Loads)
	counts.CrashedBy = maps.Clone(counts.CrashedBy)
	return counts
}

// State returns the state that the engine reports.
func (server *Server) State() upstream.State {
	server.Lock()
	defer server.Unlock()
	current := server.boot
	current.sequence++
	state := upstream.State{
		Upstream:    server.settings.Name,
		BootID:      current.id,
		Release:     server.settings.Release,
		Sequence:    current.sequence,
		Taken:       server.clock.Now(),
		Role:        current.role,
		Capacity:    server.settings.Capacity,
		Replicas:    []upstream.Replica{},
		Checkpoints: server.checkpoints(),
		Leaving:     server.ActiveFaults.Leaving,
	}
	if server.settings.ChecksFencing {
		state.Fence = current.fence
	}
	for _, name := range slices.Sorted(maps.Keys(current.replicas)) {
		state.Replicas = append(state.Replicas, current.replicas[name].report(server.loadReport(name)))
	}
	return state
}

func (server *Server) checkpoints() map[string]upstream.Tier {
	found := map[string]upstream.Tier{}
	for _, entry := range server.disk.entries {
		found[entry.name] = upstream.Disk
	}
	for _, entry := range server.boot.memory.entries {
		found[entry.name] = upstream.Memory
	}
	return found
}

// loadReport returns the load report of a replica, renewed when it is older than LoadLagMilliseconds. The caller
// must hold the mutex.
func (server *Server) loadReport(name string) loadReport {
	current := server.boot
	r := current.replicas[name]
	now := server.clock.Now()
	lag := time.Duration(server.ActiveFaults.LoadLagMilliseconds) * time.Millisecond
	report, ok := current.loadReports[name]
	if !ok || now.Sub(report.takenAt) >= lag {
		report = loadReport{takenAt: now, running: r.running, waiting: len(r.waiting)}
		current.loadReports[name] = report
	}
	return report
}

// slowed returns the duration multiplied by SlowFactor. The caller must not hold the mutex.
func (server *Server) slowed(duration time.Duration) time.Duration {
	server.Lock()
	defer server.Unlock()
	return time.Duration(float64(duration) * max(server.ActiveFaults.SlowFactor, 1))
}

func (server *Server) serveState(writer http.ResponseWriter, _ *http.Request) {
	answer.JSON(writer, http.StatusOK, server.State())
}
