package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// The engines hold a few models each; a model loads in loadTime.
	modelsPerEngine = 3
	loadTime        = 2 * time.Second
	// streamEvents and eventGap are the length of a stream, and callTime is how long a call of a plain service takes.
	streamEvents = 20
	eventGap     = 30 * time.Millisecond
	callTime     = 15 * time.Millisecond
	engineSlots  = 64
	plainSlots   = 6
)

// replica is a sound replica of a service.
type replica struct {
	id, service, zone, address string
	engine                     bool
	born                       int64
	store                      *store
	record                     *record

	mutex    sync.Mutex
	models   []string
	loading  string
	loadedAt time.Time
	orders   uint64
	beats    int
	running  int
	// runs counts how often each request ran.
	runs map[string]int
	// lossEvery is how many requests run for each whose answer is lost, zero if none is, and sinceLoss counts them.
	lossEvery, sinceLoss int
	// kind is how streams are written, breakEvery how many there are for each that is broken off, and streams counts them.
	kind                streamKind
	breakEvery, streams int
}

func newReplica(id, service, zone, ip string, models []string, engine bool, store *store, record *record) (*replica, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	created := &replica{
		id: id, service: service, zone: zone, address: listener.Addr().String(), engine: engine, born: time.Now().UnixMilli(),
		store: store, record: record, models: models, runs: map[string]int{}, kind: streamKind{first: 1},
	}
	go func() { _ = http.Serve(listener, created) }()
	go created.beat()
	return created, nil
}

// beat writes the entry of the replica at intervals.
func (replica *replica) beat() {
	for {
		replica.store.put("servers", replica.id, replica.entry())
		time.Sleep(heartbeat)
	}
}

// slots returns the number of requests that the replica processes at once.
func (replica *replica) slots() int {
	if replica.engine {
		return engineSlots
	}
	return plainSlots
}

func (replica *replica) entry() []byte {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	replica.beats++
	entry := map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": "v1", "slots": replica.slots(),
		"state": "ready", "coldRemainingMs": 0, "sequence": replica.beats, "born": replica.born,
	}
	if replica.engine {
		entry["stage"], entry["models"], entry["atHand"] = "colocated", replica.listed(), replica.atHand()
	}
	content, _ := json.Marshal(entry)
	return content
}

// listed returns the loaded models. The mutex is held.
func (replica *replica) listed() []map[string]any {
	list := []map[string]any{}
	for _, model := range replica.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return list
}

// atHand returns the copies of weights. The mutex is held.
func (replica *replica) atHand() map[string]any {
	return map[string]any{"inMemory": replica.models, "onDisk": replica.models}
}

// finishLoad makes a model available once its load is over. The mutex is held.
func (replica *replica) finishLoad() {
	if replica.loading != "" && !time.Now().Before(replica.loadedAt) {
		replica.models = append(replica.models, replica.loading)
		replica.loading = ""
	}
}

// ServeHTTP serves requests, orders and reports.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if id := request.Header.Get("Bronzestall-Request-Id"); id != "" {
		writer.Header().Set("Bronzestall-Request-Id", id)
	}
	if expected := request.Header.Get("Bronzestall-Expect-Instance"); expected != "" && expected != replica.id {
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/order":
		replica.order(writer, body)
	case "/report":
		replica.report(writer)
	case "/health":
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
	default:
		replica.run(writer, request, body)
	}
}

// order accepts an order.
func (replica *replica) order(writer http.ResponseWriter, body []byte) {
	var order struct {
		Operation, Model, Adapter, Holder string
		ExpectedRev                       *uint64
		FencingToken                      *uint64
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.FencingToken == nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	present := slices.Contains(replica.models, order.Model)
	switch {
	case order.ExpectedRev != nil && *order.ExpectedRev != replica.orders, replica.loading != "":
		writer.WriteHeader(http.StatusConflict)
	case order.Operation == "load" && present, order.Operation == "unload" && !present:
		writer.WriteHeader(http.StatusOK)
	case order.Operation == "load":
		replica.orders++
		replica.loading, replica.loadedAt = order.Model, time.Now().Add(loadTime)
		writer.WriteHeader(http.StatusAccepted)
	default:
		replica.orders++
		replica.models = slices.DeleteFunc(slices.Clone(replica.models), func(model string) bool { return model == order.Model })
		writer.WriteHeader(http.StatusAccepted)
	}
}

// report responds with the state of the replica.
func (replica *replica) report(writer http.ResponseWriter) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	reply(writer, http.StatusOK, map[string]any{
		"stage": "colocated", "models": replica.listed(), "busy": replica.loading != "", "sequence": replica.orders, "queued": 0,
		"running": replica.running, "kvUsed": 0, "kvTotal": 140294, "handles": 0, "born": replica.born, "atHand": replica.atHand(),
	})
}

// begin takes a slot, or reports why not: a status that says that the request was not run.
func (replica *replica) begin(id, model string) int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	if replica.engine && !slices.Contains(replica.models, model) {
		return http.StatusMisdirectedRequest
	}
	if replica.running >= replica.slots() {
		return http.StatusServiceUnavailable
	}
	replica.running++
	replica.runs[id]++
	return http.StatusOK
}

// run runs a request.
func (replica *replica) run(writer http.ResponseWriter, request *http.Request, body []byte) {
	id := request.Header.Get("Bronzestall-Request-Id")
	if id == "" {
		writer.Header().Set("Bronzestall-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := replica.begin(id, request.Header.Get("Bronzestall-Model")); status != http.StatusOK {
		writer.Header().Set("Bronzestall-Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	defer func() {
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		replica.running--
	}()
	writer.Header().Set("Bronzestall-Response-Signature", "signed."+replica.id+"."+id)
	if !replica.engine {
		time.Sleep(callTime)
		if replica.losesAnswer() {
			replica.record.add("replica %s ran %s and loses its answer", replica.id, id)
			abort()
		}
		_, _ = fmt.Fprintf(writer, "%s: %d bytes", id, len(body))
		return
	}
	replica.stream(writer, request, id)
}
