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
	// loadTime, diskTime and warmTime are the times that a load takes from the store, the replica's disk and its memory: loadTimeS,
	// diskS and warmS of the configuration.
	loadTime = 6 * time.Second
	diskTime = 600 * time.Millisecond
	warmTime = 420 * time.Millisecond
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

// replica is a stand-in of a replica of a plain service or of an engine, which holds its models from the start and takes orders. After a
// crash it holds no model, and has copies of those of before on its disk.
type replica struct {
	id, service, zone string
	bed               *bed

	mutex    sync.Mutex
	version  string
	born     int64
	models   []string
	inMemory []string
	onDisk   []string
	revision int
	// ordered is the model of the order under way, if any.
	ordered string
	// running and tokens are the runs of each model and the sizes of all of them.
	running  map[string]int
	tokens   int
	beats    int
	listener net.Listener
	server   *http.Server
	address  string
	stop     chan struct{}

	// first is the number of the first event of a stream, and comment is written after each event.
	first   int
	comment string
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
	replica.born, replica.revision, replica.beats = time.Now().UnixMilli(), 0, 0
	replica.server = &http.Server{Handler: replica}
	replica.stop = make(chan struct{})
	server, stop := replica.server, replica.stop
	replica.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go replica.beat(stop)
	return nil
}

// crash ends the replica without a word. Only what is on its disk stays.
func (replica *replica) crash() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	close(replica.stop)
	_ = replica.server.Close()
	replica.models, replica.inMemory, replica.ordered = nil, nil, ""
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

// atHand returns the copies of weights.
func (replica *replica) atHand() map[string]any {
	return map[string]any{"inMemory": append([]string{}, replica.inMemory...), "onDisk": append([]string{}, replica.onDisk...)}
}

func (replica *replica) write() {
	replica.mutex.Lock()
	replica.beats++
	content, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": replica.version, "slots": 64,
		"state": "ready", "born": replica.born, "sequence": replica.beats, "coldRemainingMs": 0, "models": replica.held(),
		"atHand": replica.atHand(),
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
		writer.Header().Set("Bronzestall-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
	case "/report":
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		running := 0
		for _, count := range replica.running {
			running += count
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"stage": "colocated", "models": replica.held(), "busy": replica.ordered != "", "sequence": replica.revision, "born": replica.born,
			"queued": 0, "running": running, "kvUsed": replica.tokens, "kvTotal": kvCapacity, "handles": 0, "atHand": replica.atHand(),
		})
	case "/order":
		replica.order(writer, body)
	default:
		replica.serve(writer, request, id, string(body))
	}
}

// order carries out a load, whose time depends on the copies at hand, or an unload, which waits for the runs of the model.
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
	if replica.ordered != "" || (order.ExpectedRev != nil && *order.ExpectedRev != replica.revision) {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	load := order.Operation == "load"
	if slices.Contains(replica.models, order.Model) == load {
		writer.WriteHeader(http.StatusOK)
		return
	}
	replica.revision++
	replica.ordered = order.Model
	born := replica.born
	if load {
		time.AfterFunc(replica.timeOfLoad(order.Model), func() { replica.loaded(order.Model, born) })
	} else {
		go replica.unload(order.Model, born)
	}
	writer.WriteHeader(http.StatusAccepted)
}

// timeOfLoad returns how long a load of the model takes.
func (replica *replica) timeOfLoad(model string) time.Duration {
	switch {
	case slices.Contains(replica.inMemory, model):
		return warmTime
	case slices.Contains(replica.onDisk, model):
		return diskTime
	default:
		return loadTime
	}
}

// loaded ends a load, unless the replica has crashed or started again since.
func (replica *replica) loaded(model string, born int64) {
	replica.mutex.Lock()
	if replica.born != born || replica.ordered != model {
		replica.mutex.Unlock()
		return
	}
	replica.ordered = ""
	replica.models = append(replica.models, model)
	for _, copies := range []*[]string{&replica.inMemory, &replica.onDisk} {
		if !slices.Contains(*copies, model) {
			*copies = append(*copies, model)
		}
	}
	replica.mutex.Unlock()
	replica.write()
}

// unload waits for the runs of the model and drops it, unless the replica has crashed or started again since.
func (replica *replica) unload(model string, born int64) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		replica.mutex.Lock()
		if replica.born != born || replica.ordered != model {
			replica.mutex.Unlock()
			return
		}
		if replica.running[model] == 0 {
			break
		}
		replica.mutex.Unlock()
	}
	replica.ordered = ""
	replica.models = slices.DeleteFunc(replica.models, func(held string) bool { return held == model })
	replica.mutex.Unlock()
	replica.write()
}

// begin counts a run and returns what ends it, or the status of the refusal if the replica has no such model, if an order concerns the
// model, or if the request is larger than the memory.
func (replica *replica) begin(model string, tokens int) (end func(), refusal int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	switch {
	case replica.ordered == model, tokens > kvCapacity:
		return nil, http.StatusServiceUnavailable
	case !slices.Contains(replica.models, model):
		return nil, http.StatusMisdirectedRequest
	}
	replica.running[model]++
	replica.tokens += tokens
	return func() {
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		replica.running[model]--
		replica.tokens -= tokens
	}, 0
}

// serve runs a request.
func (replica *replica) serve(writer http.ResponseWriter, request *http.Request, id, body string) {
	replica.mutex.Lock()
	version, first, comment, events, gap, work, answer := replica.version, replica.first, replica.comment, replica.events, replica.gap, replica.work, replica.answer
	replica.mutex.Unlock()
	if replica.service == engines {
		model, tokens := request.Header.Get("Bronzestall-Model"), tokensOf(request.Header)
		end, refusal := replica.begin(model, tokens)
		if end == nil {
			writer.Header().Set("Bronzestall-Not-Executed", "1")
			writer.WriteHeader(refusal)
			replica.bed.record.add("rejected %s (%s, %d tokens) at %s with %d", id, model, tokens, replica.id, refusal)
			return
		}
		defer end()
		writer.Header().Set("Bronzestall-Weight-Versions", "1")
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
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n%s", number, version, number, comment); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
