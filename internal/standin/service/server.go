package service

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// Server is one plain service. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	name  string
	clock clock.Clock
	mux   *http.ServeMux
}

// New returns a service with the name of its VM.
func New(name string, clk clock.Clock) *Server {
	server := &Server{
		name:  name,
		clock: clk,
		mux:   http.NewServeMux(),
	}
	server.Recorded = Counts{Executions: map[string]int{}, Keys: map[string]int{}}
	server.Handle(server.mux, "", server.Counts)
	server.mux.HandleFunc("/", server.call)
	return server
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// Counts returns the calls since the start.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	counts := server.Recorded
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
	server.Lock()
	defer server.Unlock()
	faults := &server.ActiveFaults
	drawn := fate{slow: time.Duration(faults.SlowMilliseconds) * time.Millisecond}
	drawn.cutBefore = answer.ConsumeOne(&faults.CutBefore)
	drawn.refuse = !drawn.cutBefore && answer.ConsumeOne(&faults.Refuse)
	if drawn.cutBefore || drawn.refuse {
		return drawn
	}
	drawn.cutAfter = answer.ConsumeOne(&faults.CutAfter)
	drawn.crossed = answer.ConsumeOne(&faults.Crossed)
	drawn.truncated = answer.ConsumeOne(&faults.Truncated)
	return drawn
}

func (server *Server) call(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	drawn := server.draw()
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if drawn.cutBefore {
		answer.AbortConnection()
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
		answer.AbortConnection()
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
	server.Lock()
	server.Recorded.Refused++
	server.Unlock()
	answer.Refuse(writer, http.StatusServiceUnavailable, "leaving")
}

// execute counts the execution and returns how often the identifier was executed.
func (server *Server) execute(id, key string) int {
	server.Lock()
	defer server.Unlock()
	server.Recorded.Executions[id]++
	if key != "" {
		server.Recorded.Keys[key]++
	}
	return server.Recorded.Executions[id]
}
