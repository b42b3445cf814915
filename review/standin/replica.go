package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The replicas follow the sheet of calabaza-boletos: heartbeats each 1,200 ms, loads of 6 s from the weight store.
const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 6 * time.Second
	diskTime  = 600 * time.Millisecond
	eventGap  = 100 * time.Millisecond
	// eventTokens is the number of tokens in an event.
	eventTokens = 3
	// maxAdapters is the number of adapters that a replica has places for.
	maxAdapters = 8
)

// order is an order as a replica received it.
type order struct {
	at        time.Time
	replica   string
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	After     uint64 `json:"expectedRev"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fencingToken"`
	status    int
}

// replica is one sound replica of a service: an engine, or a plain service.
type replica struct {
	id, service, zone, release string
	engine                     bool
	record                     *record
	store                      *store
	server                     *http.Server
	listener                   net.Listener
	born                       int64
	// onOrder, if set, is called with each order after it was judged.
	onOrder func(order)
	// header, if set, adds to the headers of all answers.
	header func(header http.Header)
	// override, if set, may answer a request in place of the replica.
	override func(writer http.ResponseWriter, request *http.Request) bool

	mutex    sync.Mutex
	unlisted bool
	models   []string
	adapters map[string][]string
	sequence uint64
	loading  string
	writes   int
	stop     chan struct{}
	// onDisk lists the models whose weights the machine of the replica has on its disk.
	onDisk []string
	// beat is replaced and closed to begin the time to the next heartbeat anew.
	beat chan struct{}
}

// startReplica starts a replica that holds the models and registers itself.
func startReplica(replica *replica, ip string) error {
	var err error
	if replica.listener, err = net.Listen("tcp", ip+":0"); err != nil {
		return err
	}
	replica.onDisk, replica.beat = slices.Clone(replica.models), make(chan struct{}, 1)
	replica.begin()
	return nil
}

// begin starts a process of the replica at its listener.
func (replica *replica) begin() {
	replica.born, replica.stop, replica.adapters = time.Now().UnixMilli(), make(chan struct{}), map[string][]string{}
	replica.server = &http.Server{Handler: replica}
	go func(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }(replica.server, replica.listener)
	replica.record.add("replica %s of %s starts, version %s, models %v", replica.id, replica.service, replica.release, replica.models)
	replica.register()
	go func(stop chan struct{}) {
		for {
			select {
			case <-stop:
				return
			case <-replica.beat:
			case <-time.After(heartbeat):
				replica.register()
			}
		}
	}(replica.stop)
}

// restart ends the process of the replica, and starts one of the release under the same identifier and address after the time. It is
// empty, but the disk keeps its copies.
func (replica *replica) restart(release string, after time.Duration) error {
	address := replica.listener.Addr().String()
	replica.exit()
	time.Sleep(after)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	replica.mutex.Lock()
	replica.listener, replica.release, replica.models, replica.sequence, replica.loading, replica.writes = listener, release, nil, 0, "", 0
	replica.mutex.Unlock()
	replica.begin()
	return nil
}

// held returns what the replica holds, as rows and reports name it. The mutex is held.
func (replica *replica) held() []map[string]any {
	list := []map[string]any{}
	for _, model := range replica.models {
		adapters := replica.adapters[model]
		if adapters == nil {
			adapters = []string{}
		}
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return list
}

// register writes the row of the replica.
func (replica *replica) register() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.unlisted {
		return
	}
	replica.writes++
	content := map[string]any{
		"service": replica.service, "address": replica.listener.Addr().String(), "zone": replica.zone, "version": replica.release,
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": replica.writes, "born": replica.born,
	}
	if replica.engine {
		content["stage"], content["models"] = "colocated", replica.held()
		content["atHand"] = map[string]any{"inMemory": []string{}, "onDisk": replica.onDisk}
	}
	value, _ := json.Marshal(content)
	replica.store.put("servers", replica.id, value)
}

// leaveSilently removes the row of the replica without a report that it drains. It serves on for the time and then exits.
func (replica *replica) leaveSilently(after time.Duration) {
	replica.mutex.Lock()
	replica.unlisted = true
	replica.mutex.Unlock()
	replica.store.put("servers", replica.id, nil)
	replica.record.add("replica %s leaves: its row is removed, it exits in %v", replica.id, after)
	time.AfterFunc(after, replica.exit)
}

// exit ends the replica.
func (replica *replica) exit() {
	close(replica.stop)
	_ = replica.server.Close()
	replica.record.add("replica %s has exited", replica.id)
}

// holds reports whether the replica has loaded the model.
func (replica *replica) holds(model string) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return slices.Contains(replica.models, model)
}

func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if replica.header != nil {
		replica.header(writer.Header())
	}
	if id := request.Header.Get("Bronzestall-Request-Id"); id != "" {
		writer.Header().Set("Bronzestall-Request-Id", id)
	}
	if expected := request.Header.Get("Bronzestall-Expect-Instance"); expected != "" && expected != replica.id {
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/order":
		replica.order(writer, request)
	case "/report":
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"stage": "colocated", "models": replica.held(), "busy": replica.loading != "", "sequence": replica.sequence, "queued": 0, "running": 0,
			"kvUsed": 0, "kvTotal": 140294, "handles": 0, "born": replica.born,
		})
	case "/health":
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
	default:
		if replica.override != nil && replica.override(writer, request) {
			return
		}
		replica.serve(writer, request)
	}
}

// order carries out one order.
func (replica *replica) order(writer http.ResponseWriter, request *http.Request) {
	received := order{at: time.Now(), replica: replica.id}
	if err := json.NewDecoder(request.Body).Decode(&received); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	received.status = replica.judge(&received)
	replica.record.add("order at %s: %s %s/%s after %d by %s, token %d: %d", replica.id, received.Operation, received.Model, received.Adapter, received.After, received.Holder, received.Fence, received.status)
	writer.WriteHeader(received.status)
	if replica.onOrder != nil {
		replica.onOrder(received)
	}
}

// judge accepts or refuses an order, and returns the status.
func (replica *replica) judge(received *order) int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	present := slices.Contains(replica.models, received.Model)
	switch {
	case received.Holder == "" || received.Fence == 0:
		return http.StatusBadRequest
	case received.After != replica.sequence, replica.loading != "" && received.Adapter == "":
		return http.StatusConflict
	case received.Adapter != "" && received.Operation == "load":
		if !present {
			return http.StatusMisdirectedRequest
		}
		replica.sequence++
		if count := len(slices.Concat(slices.Collect(maps.Values(replica.adapters))...)); count >= maxAdapters {
			replica.record.add("replica %s is ordered to hold more than %d adapters", replica.id, maxAdapters)
		}
		replica.adapters[received.Model] = append(replica.adapters[received.Model], received.Adapter)
		return http.StatusAccepted
	case received.Adapter != "":
		replica.sequence++
		replica.adapters[received.Model] = slices.DeleteFunc(replica.adapters[received.Model], func(name string) bool { return name == received.Adapter })
		return http.StatusOK
	case received.Operation == "load" && present, received.Operation == "unload" && !present:
		return http.StatusOK
	case received.Operation == "load":
		replica.sequence++
		replica.loading = received.Model
		replica.startLoad(received.Model)
		return http.StatusAccepted
	case received.Operation == "unload":
		replica.sequence++
		replica.models = slices.DeleteFunc(replica.models, func(name string) bool { return name == received.Model })
		delete(replica.adapters, received.Model)
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

// startLoad loads the model, from disk if there is a copy. The mutex is held.
func (replica *replica) startLoad(model string) {
	took := loadTime
	if slices.Contains(replica.onDisk, model) {
		took = diskTime
	}
	stop := replica.stop
	time.AfterFunc(took, func() {
		select {
		case <-stop:
		default:
			replica.finishLoad()
		}
	})
}

func (replica *replica) finishLoad() {
	replica.mutex.Lock()
	if !slices.Contains(replica.onDisk, replica.loading) {
		replica.onDisk = append(replica.onDisk, replica.loading)
	}
	replica.models = append(replica.models, replica.loading)
	replica.record.add("replica %s has loaded %s", replica.id, replica.loading)
	replica.loading = ""
	replica.mutex.Unlock()
	replica.register()
}

// serve runs a client's request.
func (replica *replica) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Bronzestall-Request-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		writer.Header().Set("Bronzestall-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	model, adapter, _ := strings.Cut(request.Header.Get("Bronzestall-Model"), "/")
	missing := replica.engine && (!slices.Contains(replica.models, model) || (adapter != "" && !slices.Contains(replica.adapters[model], adapter)))
	replica.mutex.Unlock()
	if missing {
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	replica.record.add("request %s runs at %s (%s), Last-Event-Id %q", id, replica.id, replica.release, request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Bronzestall-Response-Signature", "s."+replica.id+"."+id)
	if !replica.engine {
		time.Sleep(15 * time.Millisecond)
		_, _ = fmt.Fprintf(writer, "%s ran %s (%d bytes)\n", replica.id, id, len(body))
		return
	}
	replica.stream(writer, request)
}

// stream sends the events after Last-Event-Id, as many as the tokens of the request fill. Each names the version of the software that wrote it.
func (replica *replica) stream(writer http.ResponseWriter, request *http.Request) {
	replica.mutex.Lock()
	release, stop := replica.release, replica.stop
	replica.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Bronzestall-Weight-Versions", "1")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	_, output, _ := strings.Cut(request.Header.Get("Bronzestall-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	controller := http.NewResponseController(writer)
	for number := last + 1; number <= tokens/eventTokens; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %s\n\n", number, release, replica.id); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
