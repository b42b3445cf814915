package frontsoak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

// tables is the store. It keeps all changes until they are forgotten.
type tables struct {
	mutex   sync.Mutex
	changed *sync.Cond
	rows    map[[2]string]row
	history []row
	version uint64
	// oldest is the version from which changes are still there.
	oldest uint64
	// busy refuses all calls, and lose loses the answers to that many transactions.
	busy bool
	lose int
}

func newTables() *tables {
	made := &tables{rows: map[[2]string]row{}}
	made.changed = sync.NewCond(&made.mutex)
	return made
}

// put writes a row from outside of any daemon; an empty value drops it.
func (tables *tables) put(table, key string, value []byte) {
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	tables.version++
	tables.apply(row{Table: table, Key: key, Value: value, Dropped: len(value) == 0})
}

// apply notes a change at the current version. The mutex is held.
func (tables *tables) apply(next row) {
	next.Version = tables.version
	id := [2]string{next.Table, next.Key}
	if next.Dropped {
		delete(tables.rows, id)
	} else {
		tables.rows[id] = next
	}
	tables.history = append(tables.history, next)
	tables.changed.Broadcast()
}

func (tables *tables) forget() {
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	tables.history, tables.oldest = nil, tables.version
}

func (tables *tables) set(busy bool, lose int) {
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	tables.busy, tables.lose = busy, lose
}

// ServeHTTP answers one call.
func (tables *tables) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	tables.mutex.Lock()
	busy := tables.busy
	tables.mutex.Unlock()
	if busy {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/rows-get":
		tables.get(writer, request)
	case "/rows-feed":
		tables.feed(writer, request)
	case "/rows-tx":
		tables.transact(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func answer(writer http.ResponseWriter, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "morePages": false, "ver": version, "nowMs": time.Now().UnixMilli()})
}

func (tables *tables) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	var found []row
	for id, next := range tables.rows {
		if id[0] == query.Get("table") && id[1] >= query.Get("from") {
			found = append(found, next)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	answer(writer, found, tables.version)
}

func (tables *tables) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), tables.changed.Broadcast)
	defer timer.Stop()
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	for {
		if after < tables.oldest {
			writer.WriteHeader(http.StatusGone)
			return
		}
		var found []row
		for _, next := range tables.history {
			if next.Table == query.Get("table") && next.Version > after {
				found = append(found, next)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			answer(writer, found, tables.version)
			return
		}
		tables.changed.Wait()
	}
}

func (tables *tables) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		ExpectedRev, Puts, Remove []row
	}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	tables.mutex.Lock()
	defer tables.mutex.Unlock()
	for _, condition := range call.ExpectedRev {
		if tables.rows[[2]string{condition.Table, condition.Key}].Version != condition.Version {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	tables.version++
	for _, next := range call.Puts {
		tables.apply(next)
	}
	for _, next := range call.Remove {
		next.Dropped = true
		tables.apply(next)
	}
	if tables.lose > 0 {
		tables.lose--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"ver": tables.version, "nowMs": time.Now().UnixMilli()})
}
