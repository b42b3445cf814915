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

// Server is one engine. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	settings Settings
	clock    clock.WithTicker
	mux      *http.ServeMux

	boot  *boot
	boots int
	disk  tier
}

// New returns an engine that has just started. Close ends it.
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
	server.mux.HandleFunc("GET /engine/state", server.showState)
	server.mux.HandleFunc("POST /engine/orders", server.takeOrder)
	server.mux.HandleFunc("GET /engine/events", server.showEvents)
	server.mux.HandleFunc("POST /engine/kv/export", server.exportKV)
	server.mux.HandleFunc("POST /engine/kv/import", server.importKV)
	server.mux.HandleFunc("POST /v1/chat/completions", server.generate)
	server.mux.HandleFunc("POST /v1/completions", server.generate)
	server.Handle(server.mux, "", server.Counts)
	server.mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { server.Crash() })
	return server
}

// Close ends everything in flight.
func (server *Server) Close() {
	server.Lock()
	defer server.Unlock()
	server.boot.cancel()
}

// ServeHTTP answers one call and repeats the identifier of its request. While the engine restarts it cuts the connections of callers.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	caller := strings.HasPrefix(request.URL.Path, "/engine/") || strings.HasPrefix(request.URL.Path, "/v1/")
	if caller && server.down() {
		answer.AbortConnection()
	}
	if id := request.Header.Get("X-Request-Id"); id != "" {
		writer.Header().Set("X-Request-Id", id)
	}
	server.mux.ServeHTTP(writer, request)
}

func (server *Server) down() bool {
	server.Lock()
	defer server.Unlock()
	return server.clock.Now().Before(server.boot.back)
}

// Crash cuts everything in flight and starts the next boot, which answers after Settings.RestartAfter.
func (server *Server) Crash() {
	server.Lock()
	defer server.Unlock()
	server.crash()
}

// crash begins the next boot. The lock is held.
func (server *Server) crash() {
	server.boot.cancel()
	server.boot = server.newBoot(server.clock.Now().Add(server.settings.RestartAfter))
	server.Recorded.Crashes++
}

// crashBy ends the boot of the request unless it has ended, and records the request.
func (server *Server) crashBy(life *boot, j *job) {
	server.Lock()
	defer server.Unlock()
	if life != server.boot {
		return
	}
	server.Recorded.CrashedBy[j.mark]++
	server.crash()
}

// CacheCheckpoint puts a checkpoint in a cache before the first load.
func (server *Server) CacheCheckpoint(model, version string, bytes int64, where upstream.Tier) {
	server.Lock()
	defer server.Unlock()
	name := upstream.Checkpoint(model, version)
	if where == upstream.Memory {
		server.boot.memory.put(name, bytes)
	}
	if where != upstream.Remote {
		server.disk.put(name, bytes)
	}
}

// AddReplica loads a model, written as model@version, at once and without memory.
func (server *Server) AddReplica(name string) {
	model, version, _ := strings.Cut(name, "@")
	server.Lock()
	defer server.Unlock()
	server.boot.replicas[name] = &replica{
		model: model, version: version, phase: upstream.Ready, slots: server.settings.AdapterSlots,
	}
}

// Counts returns what the engine did since it was made.
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

// State returns what the engine says of itself.
func (server *Server) State() upstream.State {
	server.Lock()
	defer server.Unlock()
	life := server.boot
	life.sequence++
	state := upstream.State{
		Upstream:    server.settings.Name,
		BootID:      life.id,
		Sequence:    life.sequence,
		Taken:       server.clock.Now(),
		Role:        life.role,
		Capacity:    server.settings.Capacity,
		Replicas:    []upstream.Replica{},
		Checkpoints: server.checkpoints(),
		Leaving:     server.ActiveFaults.Leaving,
	}
	if server.settings.ChecksFencing {
		state.Fence = life.fence
	}
	for _, name := range slices.Sorted(maps.Keys(life.replicas)) {
		state.Replicas = append(state.Replicas, life.replicas[name].report(server.load(name)))
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

// load returns the load report of a replica, which lags as the faults say. The lock is held.
func (server *Server) load(name string) load {
	life := server.boot
	r := life.replicas[name]
	now := server.clock.Now()
	lag := time.Duration(server.ActiveFaults.LoadLagMilliseconds) * time.Millisecond
	report, ok := life.loads[name]
	if !ok || now.Sub(report.taken) >= lag {
		report = load{taken: now, running: r.running, waiting: len(r.waiting)}
		life.loads[name] = report
	}
	return report
}

// slow returns the time as the faults stretch it. The lock is not held.
func (server *Server) slow(duration time.Duration) time.Duration {
	server.Lock()
	defer server.Unlock()
	return time.Duration(float64(duration) * max(server.ActiveFaults.SlowFactor, 1))
}

func (server *Server) showState(writer http.ResponseWriter, _ *http.Request) {
	answer.JSON(writer, http.StatusOK, server.State())
}
