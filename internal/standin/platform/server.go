package platform

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// rowsPerRead is the number of scanned rows that count as one read.
const rowsPerRead = 100

// Server is the platform in memory. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	clock clock.Clock
	mux   *http.ServeMux

	tables  tables
	objects map[string][]byte
	vms     []datastore.VM
	// shown is the VM list as callers see it.
	shown []datastore.VM
}

// New returns an empty platform.
func New(clk clock.Clock) *Server {
	server := &Server{
		clock:   clk,
		mux:     http.NewServeMux(),
		tables:  tables{rows: map[datastore.Key]datastore.Row{}},
		objects: map[string][]byte{},
	}
	server.mux.HandleFunc("POST /tables/read", server.read)
	server.mux.HandleFunc("POST /tables/scan", server.scan)
	server.mux.HandleFunc("POST /tables/commit", server.commit)
	server.mux.HandleFunc("GET /objects/{name}", server.get)
	server.mux.HandleFunc("PUT /objects/{name}", server.put)
	server.mux.HandleFunc("GET /vms", server.list)
	server.mux.HandleFunc("POST /vms", server.changeVMs)
	server.Handle(server.mux, "", server.Counts)
	return server
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// SetVMs changes the VM list.
func (server *Server) SetVMs(vms []datastore.VM) {
	server.Lock()
	defer server.Unlock()
	server.vms = slices.Clone(vms)
	if !server.ActiveFaults.StaleVMs {
		server.shown = server.vms
	}
}

// Counts returns the calls since the start.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	return server.Recorded
}

// admit applies the faults before a call and reports whether it may go on.
func (server *Server) admit(writer http.ResponseWriter, request *http.Request) bool {
	server.Lock()
	faults := server.ActiveFaults
	if faults.Unavailable {
		server.Recorded.Refused++
	}
	server.Unlock()
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
	server.Lock()
	cut := server.ActiveFaults.CutBefore
	server.Unlock()
	if cut {
		answer.AbortConnection()
	}
	return true
}

// loseAnswer cuts the connection if the answer to this write is to be lost. The lock is held.
func (server *Server) loseAnswer() bool {
	return answer.ConsumeOne(&server.ActiveFaults.LoseAnswers)
}

func (server *Server) read(writer http.ResponseWriter, request *http.Request) {
	var key datastore.Key
	if !server.admit(writer, request) || !answer.Decode(writer, request, &key) {
		return
	}
	server.Lock()
	server.Recorded.Reads++
	row, ok := server.tables.rows[key]
	server.Unlock()
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
	server.Lock()
	rows := server.tables.scan(question.Table, question.Prefix, question.After, question.Limit)
	server.Recorded.Reads += 1 + len(rows)/rowsPerRead
	server.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ Rows []datastore.Row }{rows})
}

func (server *Server) commit(writer http.ResponseWriter, request *http.Request) {
	var question struct{ Writes []datastore.Write }
	if !answer.Decode(writer, request, &question) || !server.admitWrite(writer, request) {
		return
	}
	versions, ok, lost := server.apply(question.Writes)
	switch {
	case lost:
		answer.AbortConnection()
	case !ok:
		answer.JSON(writer, http.StatusConflict, struct{ Reason string }{"condition does not hold"})
	default:
		answer.JSON(writer, http.StatusOK, struct{ Versions []uint64 }{versions})
	}
}

func (server *Server) apply(writes []datastore.Write) (versions []uint64, ok, lost bool) {
	server.Lock()
	defer server.Unlock()
	versions, ok = server.tables.commit(writes)
	if !ok {
		server.Recorded.Conflicts++
		return nil, false, server.loseAnswer()
	}
	server.Recorded.Commits++
	return versions, true, server.loseAnswer()
}

func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer, request) {
		return
	}
	server.Lock()
	server.Recorded.Gets++
	content, ok := server.objects[request.PathValue("name")]
	server.Unlock()
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
		answer.AbortConnection()
	case !ok:
		answer.JSON(writer, http.StatusConflict, struct{ Reason string }{"another object has this name"})
	}
}

func (server *Server) store(name string, content []byte) (ok, lost bool) {
	server.Lock()
	defer server.Unlock()
	existing, exists := server.objects[name]
	if exists && !bytes.Equal(existing, content) {
		server.Recorded.Conflicts++
		return false, server.loseAnswer()
	}
	server.objects[name] = content
	server.Recorded.Puts++
	return true, server.loseAnswer()
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer, request) {
		return
	}
	server.Lock()
	server.Recorded.Lists++
	vms := slices.Clone(server.shown)
	server.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ VMs []datastore.VM }{vms})
}

func (server *Server) changeVMs(writer http.ResponseWriter, request *http.Request) {
	var question struct{ VMs []datastore.VM }
	if answer.Decode(writer, request, &question) {
		server.SetVMs(question.VMs)
	}
}
