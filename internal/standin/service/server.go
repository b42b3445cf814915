package service

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// Server is one plain service. Use New.
type Server struct {
	name  string
	clock clock.Clock
	mux   *http.ServeMux

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a service with the name of its VM.
func New(name string, clk clock.Clock) *Server {
	server := &Server{
		name:   name,
		clock:  clk,
		mux:    http.NewServeMux(),
		counts: Counts{Executions: map[string]int{}, Keys: map[string]int{}},
	}
	server.mux.HandleFunc("GET /counts", server.showCounts)
	server.mux.HandleFunc("POST /faults", server.changeFaults)
	server.mux.HandleFunc("/", server.call)
	return server
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// SetFaults puts other faults in force.
func (server *Server) SetFaults(faults Faults) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.faults = faults
}

// Counts returns the calls since the start.
func (server *Server) Counts() Counts {
	server.mu.Lock()
	defer server.mu.Unlock()
	counts := server.counts
	counts.Executions = maps.Clone(counts.Executions)
	counts.Keys = maps.Clone(counts.Keys)
	return counts
}

// fate is what the faults do to one call.
type fate struct {
	cutBefore, refuse, cutAfter, crossed, truncated bool
	slow                                            time.Duration
}

// draw counts off the faults of one call.
func (server *Server) draw() fate {
	server.mu.Lock()
	defer server.mu.Unlock()
	faults := &server.faults
	drawn := fate{slow: time.Duration(faults.SlowMilliseconds) * time.Millisecond}
	drawn.cutBefore = take(&faults.CutBefore)
	drawn.refuse = !drawn.cutBefore && take(&faults.Refuse)
	if drawn.cutBefore || drawn.refuse {
		return drawn
	}
	drawn.cutAfter = take(&faults.CutAfter)
	drawn.crossed = take(&faults.Crossed)
	drawn.truncated = take(&faults.Truncated)
	return drawn
}

func take(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (server *Server) call(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	drawn := server.draw()
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if drawn.cutBefore {
		answer.Cut()
	}
	if drawn.refuse {
		server.refuse(writer)
		return
	}
	if drawn.slow > 0 {
		<-server.clock.After(drawn.slow)
	}
	times := server.execute(id, request.Header.Get("Idempotency-Key"))
	if drawn.cutAfter {
		answer.Cut()
	}
	if drawn.crossed {
		writer.Header().Set("X-Request-Id", "someone-else")
	}
	if drawn.truncated {
		writer.Header().Set("Content-Length", strconv.Itoa(1<<20))
	}
	answer.JSON(writer, http.StatusOK, struct {
		Service   string
		Path      string
		RequestID string `json:"RequestId"`
		Execution int
	}{server.name, request.URL.Path, id, times})
}

func (server *Server) refuse(writer http.ResponseWriter) {
	server.mu.Lock()
	server.counts.Refused++
	server.mu.Unlock()
	answer.Refuse(writer, http.StatusServiceUnavailable, "leaving")
}

// execute counts the execution and returns how often the identifier was executed.
func (server *Server) execute(id, key string) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.counts.Executions[id]++
	if key != "" {
		server.counts.Keys[key]++
	}
	return server.counts.Executions[id]
}

func (server *Server) changeFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if answer.Decode(writer, request, &faults) {
		server.SetFaults(faults)
	}
}

func (server *Server) showCounts(writer http.ResponseWriter, _ *http.Request) {
	answer.JSON(writer, http.StatusOK, server.Counts())
}
