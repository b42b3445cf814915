package platform

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
	"github.com/bronzestall/bronzestall/platform"
)

// rowsPerRead is the number of scanned rows that count as one read.
const rowsPerRead = 100

// Server is the platform in memory. Use New.
type Server struct {
	clock clock.Clock
	mux   *http.ServeMux

	mu      sync.Mutex
	tables  tables
	objects map[string][]byte
	vms     []platform.VM
	// shown is the VM list as callers see it.
	shown  []platform.VM
	faults Faults
	counts Counts
}

// New returns an empty platform.
func New(clk clock.Clock) *Server {
	server := &Server{
		clock:   clk,
		mux:     http.NewServeMux(),
		tables:  tables{rows: map[platform.Key]platform.Row{}},
		objects: map[string][]byte{},
	}
	server.mux.HandleFunc("POST /tables/read", server.read)
	server.mux.HandleFunc("POST /tables/scan", server.scan)
	server.mux.HandleFunc("POST /tables/commit", server.commit)
	server.mux.HandleFunc("GET /objects/{name}", server.get)
	server.mux.HandleFunc("PUT /objects/{name}", server.put)
	server.mux.HandleFunc("GET /vms", server.list)
	server.mux.HandleFunc("POST /vms", server.changeVMs)
	server.mux.HandleFunc("GET /counts", server.showCounts)
	server.mux.HandleFunc("POST /faults", server.changeFaults)
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

// SetVMs changes the VM list.
func (server *Server) SetVMs(vms []platform.VM) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.vms = slices.Clone(vms)
	if !server.faults.StaleVMs {
		server.shown = server.vms
	}
}

// Counts returns the calls since the start.
func (server *Server) Counts() Counts {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.counts
}

// admit applies the faults before a call and reports whether it may go on.
func (server *Server) admit(writer http.ResponseWriter, request *http.Request) bool {
	server.mu.Lock()
	faults := server.faults
	if faults.Unavailable {
		server.counts.Refused++
	}
	server.mu.Unlock()
	if faults.SlowMilliseconds > 0 {
		select {
		case <-server.clock.After(time.Duration(faults.SlowMilliseconds) * time.Millisecond):
		case <-request.Context().Done():
		}
	}
	if faults.Unavailable {
		answer.Refuse(writer, http.StatusServiceUnavailable, "unavailable")
		return false
	}
	return true
}

// admitWrite applies the faults of writes too.
func (server *Server) admitWrite(writer http.ResponseWriter, request *http.Request) bool {
	if !server.admit(writer, request) {
		return false
	}
	server.mu.Lock()
	cut := server.faults.CutBefore
	server.mu.Unlock()
	if cut {
		answer.Cut()
	}
	return true
}

// loseAnswer cuts the connection if the answer to this write is to be lost. The lock is held.
func (server *Server) loseAnswer() bool {
	if server.faults.LoseAnswers == 0 {
		return false
	}
	server.faults.LoseAnswers--
	return true
}

func (server *Server) read(writer http.ResponseWriter, request *http.Request) {
	var key platform.Key
	if !server.admit(writer, request) || !answer.Decode(writer, request, &key) {
		return
	}
	server.mu.Lock()
	server.counts.Reads++
	row, ok := server.tables.rows[key]
	server.mu.Unlock()
	if !ok {
		answer.JSON(writer, http.StatusNotFound, struct{ Reason string }{"no such row"})
		return
	}
	answer.JSON(writer, http.StatusOK, row)
}

func (server *Server) scan(writer http.ResponseWriter, request *http.Request) {
	var question struct {
		Table, Prefix, After string
		Limit                int
	}
	if !server.admit(writer, request) || !answer.Decode(writer, request, &question) {
		return
	}
	server.mu.Lock()
	rows := server.tables.scan(question.Table, question.Prefix, question.After, question.Limit)
	server.counts.Reads += 1 + len(rows)/rowsPerRead
	server.mu.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ Rows []platform.Row }{rows})
}

func (server *Server) commit(writer http.ResponseWriter, request *http.Request) {
	var question struct{ Writes []platform.Write }
	if !answer.Decode(writer, request, &question) || !server.admitWrite(writer, request) {
		return
	}
	versions, ok, lost := server.apply(question.Writes)
	switch {
	case lost:
		answer.Cut()
	case !ok:
		answer.JSON(writer, http.StatusConflict, struct{ Reason string }{"condition does not hold"})
	default:
		answer.JSON(writer, http.StatusOK, struct{ Versions []uint64 }{versions})
	}
}

func (server *Server) apply(writes []platform.Write) (versions []uint64, ok, lost bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	versions, ok = server.tables.commit(writes)
	if !ok {
		server.counts.Conflicts++
		return nil, false, server.loseAnswer()
	}
	server.counts.Commits++
	return versions, true, server.loseAnswer()
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer, request) {
		return
	}
	server.mu.Lock()
	server.counts.Gets++
	content, ok := server.objects[request.PathValue("name")]
	server.mu.Unlock()
	if !ok {
		answer.JSON(writer, http.StatusNotFound, struct{ Reason string }{"no such object"})
		return
	}
	_, _ = writer.Write(content)
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	if err != nil || !server.admitWrite(writer, request) {
		return
	}
	ok, lost := server.store(request.PathValue("name"), content)
	switch {
	case lost:
		answer.Cut()
	case !ok:
		answer.JSON(writer, http.StatusConflict, struct{ Reason string }{"another object has this name"})
	}
}

func (server *Server) store(name string, content []byte) (ok, lost bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	existing, exists := server.objects[name]
	if exists && !bytes.Equal(existing, content) {
		server.counts.Conflicts++
		return false, server.loseAnswer()
	}
	server.objects[name] = content
	server.counts.Puts++
	return true, server.loseAnswer()
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer, request) {
		return
	}
	server.mu.Lock()
	server.counts.Lists++
	vms := slices.Clone(server.shown)
	server.mu.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ VMs []platform.VM }{vms})
}

func (server *Server) changeVMs(writer http.ResponseWriter, request *http.Request) {
	var question struct{ VMs []platform.VM }
	if answer.Decode(writer, request, &question) {
		server.SetVMs(question.VMs)
	}
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
