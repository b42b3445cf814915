package frontsoak

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
	// modelCount is the number of models, and modelsPerEngine how many an engine can hold at once.
	modelCount      = 6
	modelsPerEngine = 2
	// loadTime is the time to load a model from disk.
	loadTime = 300 * time.Millisecond
	// streamEvents is the number of events of each stream, and eventGap the time before each event.
	streamEvents = 12
	eventGap     = 25 * time.Millisecond
	// runTime is the time that a plain service takes for a call.
	runTime = 15 * time.Millisecond
)

// replica is a simulated engine or process of a plain service, behind a proxy.
type replica struct {
	id, service, zone string
	checker           *checker
	store             *store
	proxy             *proxy
	server            *http.Server

	// mutex guards the fields below, which faults and restarts change while requests run.
	mutex sync.Mutex
	// release is the version of the software. nextRelease is that after the next restart; empty keeps it.
	release, nextRelease string
	// gap is the time before each event of a stream, and runTime that for a call of a plain service.
	gap, runTime time.Duration
	// startedAt is the start of the current incarnation, in Unix ms.
	startedAt int64
	// crashes counts the crashes whose downtime has not passed.
	crashes  int
	draining bool
	// unlisted states that the replica has no row.
	unlisted bool
	// drainsSilently states that only the row in the store, not the responses, report that the replica is draining.
	drainsSilently bool
	models         []string
	// revision counts the orders that were executed.
	revision uint64
	// loading is the model that is being loaded until loadedAt, or empty.
	loading  string
	loadedAt time.Time
	// sequence counts the rows that were written.
	sequence int
	// brokenResponses is the number of coming responses to break off midway, and lostResponses that of responses to lose.
	brokenResponses, lostResponses int
	// announcesLeaving states that responses, but not the row in the store, report that the replica is leaving.
	announcesLeaving bool
	// backoffUntil is the time until which the replica asks for no requests.
	backoffUntil time.Time
	// limit is the requests per second that responses name as the limit of the replica; zero names none.
	limit float64
	// delayedOrders is the number of coming orders that get no response and are executed later.
	delayedOrders int
}

func newReplica(id, service, zone string, checker *checker, store *store) (*replica, error) {
	created := &replica{id: id, service: service, zone: zone, checker: checker, store: store, startedAt: time.Now().UnixMilli(), release: "v1", gap: eventGap, runTime: runTime}
	if service == engineService {
		created.models = []string{"m0"}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created.server = &http.Server{Handler: created}
	go func() { _ = created.server.Serve(listener) }()
	created.proxy, err = newProxy(listener.Addr().String())
	return created, err
}

// heartbeat writes the replica's row every 400 ms until the channel is closed.
func (replica *replica) heartbeat(stop <-chan struct{}) {
	for {
		replica.writeRow()
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// writeRow writes the row that describes the replica to the store, unless the replica is down.
func (replica *replica) writeRow() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.crashes > 0 || replica.unlisted {
		return
	}
	replica.sequence++
	state := "ready"
	if replica.draining {
		state = "draining"
	}
	content, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.proxy.address(), "zone": replica.zone, "version": replica.release, "slots": 8,
		"state": state, "born": replica.startedAt, "sequence": replica.sequence, "models": replica.loadedModels(), "atHand": replica.localArtifacts(),
	})
	replica.store.put("servers", replica.id, content)
}

// loadedModels returns the loaded models as the row and the report encode them. The mutex is held.
func (replica *replica) loadedModels() []map[string]any {
	list := []map[string]any{}
	for _, model := range replica.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	return list
}

// localArtifacts returns the adapters in host memory and the models on disk of an engine, or nil for a plain service.
func (replica *replica) localArtifacts() map[string]any {
	if replica.service != engineService {
		return nil
	}
	return map[string]any{"inMemory": []string{}, "onDisk": modelNames()}
}

// ServeHTTP serves requests, orders and queries of the state.
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
	case "/health":
		writer.Header().Set("Bronzestall-Instance-Id", replica.id)
	default:
		replica.serveRequest(writer, request, id, string(body))
	}
}

// finishLoad makes the model that is being loaded available once its load time is over. The mutex is held.
func (replica *replica) finishLoad() {
	if replica.loading != "" && !time.Now().Before(replica.loadedAt) {
		replica.models = append(replica.models, replica.loading)
		replica.loading = ""
	}
}

// report responds with the state of the engine.
func (replica *replica) report(writer http.ResponseWriter) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "colocated", "models": replica.loadedModels(), "busy": replica.loading != "", "sequence": replica.revision,
		"born": replica.startedAt, "atHand": replica.localArtifacts(),
	})
}

// canRun reports whether the replica can run a request for the model.
func (replica *replica) canRun(model string) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	return replica.service != engineService || slices.Contains(replica.models, model)
}

// serveRequest runs a request and responds, or injects the fault that is due.
func (replica *replica) serveRequest(writer http.ResponseWriter, request *http.Request, id, body string) {
	replica.checker.recordArrival(id, replica.id, replica.incarnationName())
	if replica.writeNotice(writer, id) {
		return
	}
	if !replica.canRun(request.Header.Get("Bronzestall-Model")) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	replica.checker.recordExecution(id, replica.id, time.Now())
	if key := request.Header.Get("Authorization"); key != "" {
		replica.checker.recordViolation("%s ran with the key %q of its client", id, key)
	}
	if replica.flood(writer, request, id) || replica.crashIfRequested(id, body) || replica.endIfDeadly(writer, request, id) {
		panic(http.ErrAbortHandler)
	}
	replica.mutex.Lock()
	broken, lost := replica.brokenResponses > 0, replica.lostResponses > 0
	if broken {
		replica.brokenResponses--
	} else if lost {
		replica.lostResponses--
	}
	replica.mutex.Unlock()
	writer.Header().Set("Bronzestall-Response-Signature", "signed."+id)
	if replica.service != engineService {
		time.Sleep(replica.callTime())
		if broken || lost {
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(id, largePrefix) {
			body = largeBody
		}
		_, _ = io.WriteString(writer, expectedBody(id, body))
		return
	}
	replica.stream(writer, request, id, broken)
}

// stream sends the events that follow Last-Event-Id, in the form of the soak. A broken stream is cut in the middle of an event, the
// one after event zero if there is such an event.
func (replica *replica) stream(writer http.ResponseWriter, request *http.Request, id string, broken bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	form := replica.checker.streams
	next, end := form.first(id), form.first(id)+streamEvents
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	breakAt := next + streamEvents/3
	if next == 0 {
		breakAt = 1
	}
	controller := http.NewResponseController(writer)
	text, gap := replica.startStream(id)
	for number := next; number < end; number++ {
		time.Sleep(gap)
		if broken && number >= breakAt {
			_, _ = fmt.Fprintf(writer, "id: %d\nda", number)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n%s", number, text, form.comment()); err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// startStream returns the data of the events of a stream that begins, and the time before each. The data is the identifier of the
// request, or the release if the client may take the stream up. A restart does not change what the old process writes.
func (replica *replica) startStream(id string) (text string, gap time.Duration) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if strings.HasPrefix(id, takeUpPrefix) {
		return replica.release, replica.gap
	}
	return id, replica.gap
}

// callTime returns the time that the plain service takes for a call.
func (replica *replica) callTime() time.Duration {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.runTime
}

// expectedBody returns the body of the response of a plain service.
func expectedBody(id, body string) string { return "answer to " + id + ": " + body }

func modelNames() []string {
	var names []string
	for number := range modelCount {
		names = append(names, fmt.Sprintf("m%d", number))
	}
	return names
}
