package frontsoak

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
	// modelCount is the number of models, and roomFor that of models that an engine holds at once.
	modelCount = 6
	roomFor    = 2
	// loadTime is the time of a load from disk.
	loadTime = 300 * time.Millisecond
	// streamEvents is the number of events of each stream, and eventGap the time between two.
	streamEvents = 12
	eventGap     = 25 * time.Millisecond
	// runTime is the time of a call of a plain service.
	runTime = 15 * time.Millisecond
)

// replica is one engine or one process of a plain service, behind a proxy.
type replica struct {
	id, service, zone string
	judge             *judge
	tables            *tables
	proxy             *proxy
	server            *http.Server

	mutex sync.Mutex
	// born changes with each start.
	born     int64
	down     bool
	draining bool
	models   []string
	orders   uint64
	loading  string
	until    time.Time
	writes   int
	// breakNext resets the connections of that many runs in the middle, and loseNext after their end.
	breakNext, loseNext int
	// parting states that the replica says in its answers, and nowhere else, that it leaves.
	parting bool
	// restUntil is when the replica wants requests again.
	restUntil time.Time
	// lateNext leaves that many orders without an answer and carries them out later.
	lateNext int
}

func newReplica(id, service, zone string, judge *judge, tables *tables) (*replica, error) {
	made := &replica{id: id, service: service, zone: zone, judge: judge, tables: tables, born: time.Now().UnixMilli()}
	if service == engines {
		made.models = []string{"m0"}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made.server = &http.Server{Handler: made}
	go func() { _ = made.server.Serve(listener) }()
	made.proxy, err = newProxy(listener.Addr().String())
	return made, err
}

// beat describes the replica in the store until it is closed.
func (replica *replica) beat(stop <-chan struct{}) {
	for {
		replica.describe()
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
	}
}

func (replica *replica) describe() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return
	}
	replica.writes++
	state := "ready"
	if replica.draining {
		state = "draining"
	}
	content, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.proxy.address(), "zone": replica.zone, "version": "v1", "slots": 8,
		"state": state, "born": replica.born, "sequence": replica.writes, "models": replica.loaded(), "atHand": replica.atHand(),
	})
	replica.tables.put("servers", replica.id, content)
}

func (replica *replica) loaded() []map[string]any {
	list := []map[string]any{}
	for _, model := range replica.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return list
}

func (replica *replica) atHand() map[string]any {
	if replica.service != engines {
		return nil
	}
	return map[string]any{"inMemory": []string{}, "onDisk": modelNames()}
}

// crash ends all runs and forgets what was held; the replica is back after the time.
func (replica *replica) crash(length time.Duration) {
	replica.mutex.Lock()
	replica.down = true
	replica.models, replica.orders, replica.loading = nil, 0, ""
	replica.mutex.Unlock()
	replica.judge.disturbReplica(replica.id)
	replica.proxy.set(false, true, 0)
	replica.proxy.resetAll()
	time.AfterFunc(length, func() {
		replica.mutex.Lock()
		replica.down, replica.born = false, time.Now().UnixMilli()
		replica.mutex.Unlock()
		replica.proxy.set(false, false, 0)
	})
}

// drain describes the replica as draining and takes its row away after a while; it comes back as another run.
func (replica *replica) drain() {
	replica.mutex.Lock()
	replica.draining = true
	replica.mutex.Unlock()
	replica.describe()
	replica.judge.leaving(replica.id, time.Now())
	time.AfterFunc(4*time.Second, func() {
		replica.mutex.Lock()
		replica.draining = false
		replica.mutex.Unlock()
		replica.judge.leaving(replica.id, time.Time{})
		replica.crash(300 * time.Millisecond)
	})
}

// ServeHTTP answers requests, orders and questions.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Bronzestall-Request-Id")
	writer.Header().Set("Bronzestall-Request-Id", id)
	if expected := request.Header.Get("Bronzestall-Expect-Instance"); expected != replica.id {
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
	default:
		replica.run(writer, request, id, string(body))
	}
}

func (replica *replica) settle() {
	if replica.loading != "" && !time.Now().Before(replica.until) {
		replica.models = append(replica.models, replica.loading)
		replica.loading = ""
	}
}

func (replica *replica) report(writer http.ResponseWriter) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.settle()
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "colocated", "models": replica.loaded(), "busy": replica.loading != "", "sequence": replica.orders,
		"born": replica.born, "atHand": replica.atHand(),
	})
}

// admits reports whether the replica can run the request.
func (replica *replica) admits(model string) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.settle()
	return replica.service != engines || slices.Contains(replica.models, model)
}

// run works on a request and answers it.
func (replica *replica) run(writer http.ResponseWriter, request *http.Request, id, body string) {
	replica.judge.reached(id, replica.id, replica.runName())
	if replica.speak(writer, id) {
		return
	}
	if !replica.admits(request.Header.Get("Bronzestall-Model")) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	replica.judge.ran(id, replica.id, time.Now())
	if replica.crashes(id, body) {
		panic(http.ErrAbortHandler)
	}
	replica.mutex.Lock()
	broken, lost := replica.breakNext > 0, replica.loseNext > 0
	if broken {
		replica.breakNext--
	} else if lost {
		replica.loseNext--
	}
	replica.mutex.Unlock()
	writer.Header().Set("Bronzestall-Response-Signature", "signed."+id)
	if replica.service != engines {
		time.Sleep(runTime)
		if broken || lost {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, expectedBody(id, body))
		return
	}
	replica.stream(writer, request, id, broken)
}

func (replica *replica) stream(writer http.ResponseWriter, request *http.Request, id string, broken bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	var first int
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first)
	controller := http.NewResponseController(writer)
	for number := first + 1; number <= streamEvents; number++ {
		time.Sleep(eventGap)
		if broken && number > first+streamEvents/3 {
			_, _ = fmt.Fprintf(writer, "id: %d\nda", number)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, id); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

func expectedBody(id, body string) string { return "answer to " + id + ": " + body }

func modelNames() []string {
	var names []string
	for number := range modelCount {
		names = append(names, fmt.Sprintf("m%d", number))
	}
	return names
}
