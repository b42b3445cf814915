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

// Server is the simulated platform. It is safe for concurrent use. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	clock clock.Clock
	mux   *http.ServeMux

	tables  tables
	objects map[string][]byte
	vms     []datastore.VM
	// visibleVMs is the VM list that clients receive.
	visibleVMs []datastore.VM
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
	server.mux.HandleFunc("POST /vms", server.replaceVMs)
	server.Handle(server.mux, "", server.Counts)
	return server
}

// ServeHTTP serves one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// SetVMs replaces the VM list. While StaleVMs is active, clients do not receive the new list.
func (server *Server) SetVMs(vms []datastore.VM) {
	server.Lock()
	defer server.Unlock()
	server.vms = slices.Clone(vms)
	if !server.ActiveFaults.StaleVMs {
		server.visibleVMs = server.vms
	}
}

// Counts returns a copy of the counters.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	return server.Recorded
}

// admit applies the faults that precede a call and reports whether the call is to be executed.
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

// admitWrite also applies the faults of writes.
func (server *Server) admitWrite(writer http.ResponseWriter, request *http.Request) bool {
	if !server.admit(writer, request) {
		return false
	}
	server.Lock()
	aborts := server.ActiveFaults.CutBefore
	server.Unlock()
	if aborts {
		answer.AbortConnection()
	}
	return true
}

// losesResponse reports whether the response to this write is to be lost. The caller must hold the mutex.
func (server *Server) losesResponse() bool {
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
	var body struct {
		Table, Prefix, After string
		Limit                int
	}
	if !server.admit(writer, request) || !answer.Decode(writer, request, &body) {
		return
	}
	server.Lock()
	rows := server.tables.scan(body.Table, body.Prefix, body.After, body.Limit)
	server.Recorded.Reads += max(1, (len(rows)+rowsPerRead-1)/rowsPerRead)
	server.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ Rows []datastore.Row }{rows})
}

func (server *Server) commit(writer http.ResponseWriter, request *http.Request) {
	var body struct{ Writes []datastore.Write }
	if !answer.Decode(writer, request, &body) || !server.admitWrite(writer, request) {
		return
	}
	versions, ok, lost := server.apply(body.Writes)
	switch {
	case lost:
		answer.AbortConnection()
	case !ok:
		answer.JSON(writer, http.StatusConflict, struct{ Reason string }{"condition does not hold"})
	default:
		answer.JSON(writer, http.StatusOK, struct{ Versions []datastore.Version }{versions})
	}
}

func (server *Server) apply(writes []datastore.Write) (versions []datastore.Version, ok, lost bool) {
	server.Lock()
	defer server.Unlock()
	versions, ok = server.tables.commit(writes)
	if !ok {
		server.Recorded.Conflicts++
		return nil, false, server.losesResponse()
	}
	server.Recorded.Commits++
	return versions, true, server.losesResponse()
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
		return false, server.losesResponse()
	}
	server.objects[name] = content
	server.Recorded.Puts++
	return true, server.losesResponse()
}

func (server *Server) list(writer http.ResponseWriter, request *http.Request) {
	if !server.admit(writer, request) {
		return
	}
	server.Lock()
	server.Recorded.Lists++
	vms := slices.Clone(server.visibleVMs)
	server.Unlock()
	answer.JSON(writer, http.StatusOK, struct{ VMs []datastore.VM }{vms})
}

func (server *Server) replaceVMs(writer http.ResponseWriter, request *http.Request) {
	var body struct{ VMs []datastore.VM }
	if answer.Decode(writer, request, &body) {
		server.SetVMs(body.VMs)
	}
}
