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

// Server is one simulated service. It is safe for concurrent use. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	name  string
	clock clock.Clock
	mux   *http.ServeMux
}

// New returns a service on the VM with the given name.
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

// ServeHTTP serves one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// Counts returns a copy of the counters.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	counts := server.Recorded
	counts.Executions = maps.Clone(counts.Executions)
	counts.Keys = maps.Clone(counts.Keys)
	return counts
}

// callFaults holds the faults that apply to one call.
type callFaults struct {
	cutBefore, refuse, cutAfter, crossed, truncated bool
	slow                                            time.Duration
}

// takeFaults returns the faults that apply to the next call and decrements their counters.
func (server *Server) takeFaults() callFaults {
	server.Lock()
	defer server.Unlock()
	faults := &server.ActiveFaults
	taken := callFaults{slow: time.Duration(faults.SlowMilliseconds) * time.Millisecond}
	taken.cutBefore = answer.ConsumeOne(&faults.CutBefore)
	taken.refuse = !taken.cutBefore && answer.ConsumeOne(&faults.Refuse)
	if taken.cutBefore || taken.refuse {
		return taken
	}
	taken.cutAfter = answer.ConsumeOne(&faults.CutAfter)
	taken.crossed = answer.ConsumeOne(&faults.Crossed)
	taken.truncated = answer.ConsumeOne(&faults.Truncated)
	return taken
}

func (server *Server) call(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	taken := server.takeFaults()
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if taken.cutBefore {
		answer.AbortConnection()
	}
	if taken.refuse {
		server.refuse(writer)
		return
	}
	if taken.slow > 0 {
		<-server.clock.After(taken.slow)
	}
	executions := server.execute(id, request.Header.Get("Idempotency-Key"))
	if taken.cutAfter {
		answer.AbortConnection()
	}
	if taken.crossed {
		writer.Header().Set("X-Request-Id", "someone-else")
	}
	if taken.truncated {
		writer.Header().Set("Content-Length", strconv.Itoa(1<<20))
	}
	answer.JSON(writer, http.StatusOK, struct {
		Service   string
		Path      string
		RequestID string `json:"RequestId"`
		Execution int
	}{server.name, request.URL.Path, id, executions})
}

func (server *Server) refuse(writer http.ResponseWriter) {
	server.Lock()
	server.Recorded.Refused++
	server.Unlock()
	answer.Refuse(writer, http.StatusServiceUnavailable, "leaving")
}

// execute counts the execution and returns the number of executions of the request identifier.
func (server *Server) execute(id, key string) int {
	server.Lock()
	defer server.Unlock()
	server.Recorded.Executions[id]++
	if key != "" {
		server.Recorded.Keys[key]++
	}
	return server.Recorded.Executions[id]
}
