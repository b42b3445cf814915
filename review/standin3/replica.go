package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engines = "engines"
	desk    = "desk"
	// heartbeat is the interval at which a replica writes its row.
	heartbeat = 1200 * time.Millisecond
	// loadTime is the time that a load takes, the loadTimeS of the configuration.
	loadTime = 6 * time.Second
)

// kvCapacity is the memory of an engine in tokens.
const kvCapacity = 140294

// tokensOf returns the size of a request, prompt and most output, in tokens.
func tokensOf(header http.Header) int {
	prompt, output, _ := strings.Cut(header.Get("Bronzestall-Token-Usage"), ",")
	first, _ := strconv.Atoi(prompt)
	second, _ := strconv.Atoi(output)
	return first + second
}

// run is one run of a request by a replica.
type run struct {
	id, replica, service string
	header               http.Header
	method, target, body string
	at                   time.Time
}

// replica is a stand-in of a replica of a plain service or of an engine, which holds its models from the start and takes orders.
type replica struct {
	id, service, zone string
	bed               *bed

	mutex    sync.Mutex
	version  string
	born     int64
	models   []string
	revision int
	busy     bool
	beats    int
	listener net.Listener
	server   *http.Server
	address  string
	stop     chan struct{}

	// first is the number of the first event of a stream.
	first int
	// events and gap are the number of events of a stream and the time between them; work is that of a call.
	events int
	gap    time.Duration
	work   time.Duration
	// answer, if set, writes the answer to a request that runs and returns true, in place of the usual answer.
	answer func(writer http.ResponseWriter, request *http.Request, id, body string) bool
}

// start listens, at the address that the replica had if it had one, and writes the row from now on.
func (replica *replica) start() error {
	address := replica.address
	if address == "" {
		address = replica.bed.ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	replica.mutex.Lock()
	replica.listener, replica.address = listener, listener.Addr().String()
	replica.born, replica.revision = time.Now().UnixMilli(), 0
	replica.server = &http.Server{Handler: replica}
	replica.stop = make(chan struct{})
	server, stop := replica.server, replica.stop
	replica.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go replica.beat(stop)
	return nil
}

// crash ends the replica without a word.
func (replica *replica) crash() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	close(replica.stop)
	_ = replica.server.Close()
}

func (replica *replica) beat(stop chan struct{}) {
	for {
		replica.write()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (replica *replica) held() []map[string]any {
	list := []map[string]any{}
	for _, model := range replica.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return list
}

func (replica *replica) write() {
	replica.mutex.Lock()
	replica.beats++
	content, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": replica.version, "slots": 64,
		"state": "ready", "born": replica.born, "sequence": replica.beats, "coldRemainingMs": 0, "models": replica.held(),
		"atHand": map[string]any{"inMemory": replica.models, "onDisk": replica.models},
	})
	replica.mutex.Unlock()
	replica.bed.store.put("servers", replica.id, content)
}

func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Bronzestall-Request-Id")
	if id != "" {
		writer.Header().Set("Bronzestall-Request-Id", id)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("Bronzestall-Expect-Instance"); expected != "" && expected != replica.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
	case "/report":
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"stage": "colocated", "models": replica.held(), "busy": replica.busy, "sequence": replica.revision, "born": replica.born,
			"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 140000, "handles": 0, "atHand": map[string]any{"inMemory": replica.models, "onDisk": replica.models},
		})
	case "/order":
		replica.order(writer, body)
	default:
		replica.serve(writer, request, id, string(body))
	}
}

// order carries an unload out at once, and a load after loadTime.
func (replica *replica) order(writer http.ResponseWriter, body []byte) {
	var order struct {
		Operation, Model, Adapter, Holder string
		ExpectedRev                       *int
		FencingToken                      int
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.bed.record.add("order %s %s%s at %s of %s token %d", order.Operation, order.Model, order.Adapter, replica.id, order.Holder, order.FencingToken)
	if replica.busy || (order.ExpectedRev != nil && *order.ExpectedRev != replica.revision) {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	replica.revision++
	replica.models = slices.DeleteFunc(replica.models, func(model string) bool { return model == order.Model })
	if order.Operation == "load" {
		replica.busy = true
		time.AfterFunc(loadTime, func() { replica.loaded(order.Model) })
	}
	writer.WriteHeader(http.StatusAccepted)
}

// loaded ends a load.
func (replica *replica) loaded(model string) {
	replica.mutex.Lock()
	replica.busy = false
	replica.models = append(replica.models, model)
	replica.mutex.Unlock()
	replica.write()
}

// serve runs a request.
func (replica *replica) serve(writer http.ResponseWriter, request *http.Request, id, body string) {
	replica.mutex.Lock()
	lacks := replica.service == engines && !slices.Contains(replica.models, request.Header.Get("Bronzestall-Model"))
	version, first, events, gap, work, answer := replica.version, replica.first, replica.events, replica.gap, replica.work, replica.answer
	replica.mutex.Unlock()
	if lacks {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if replica.service == engines && tokensOf(request.Header) > kvCapacity {
		writer.Header().Set("Bronzestall-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		replica.bed.record.add("rejected %s at %s: larger than its memory", id, replica.id)
		return
	}
	replica.bed.ran(run{id, replica.id, replica.service, request.Header.Clone(), request.Method, request.URL.RequestURI(), body, time.Now()})
	replica.bed.record.add("run %s at %s (%s %s) after event %q", id, replica.id, replica.service, version, request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Bronzestall-Response-Signature", "signed."+replica.id+"."+id)
	if answer != nil && answer(writer, request, id, body) {
		return
	}
	if replica.service == desk {
		time.Sleep(work)
		_, _ = io.WriteString(writer, "answer to "+id+"\n")
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	next := first
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	controller := http.NewResponseController(writer)
	for number := next; number < first+events; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(gap):
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", number, version, number); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
