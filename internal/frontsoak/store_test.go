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

// row is a row of the store as its API encodes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// store is an in-memory store. It keeps the history of all changes until dropHistory.
type store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	rows    map[[2]string]row
	history []row
	version uint64
	// journal lists all changes that the state in force came from, also those that dropHistory dropped, and era counts
	// how often the store came back from a copy.
	journal []timedRow
	era     uint64
	// oldest is the version after which the history is complete.
	oldest uint64
	// outages is the number of outages, in which all calls are refused, and dropResponses is the number of coming transactions that are
	// applied but get no response.
	outages       int
	dropResponses int
}

// timedRow is a change with the time at which it was made.
type timedRow struct {
	row
	at time.Time
}

func newStore() *store {
	created := &store{rows: map[[2]string]row{}, era: 1}
	created.changed = sync.NewCond(&created.mutex)
	return created
}

// put writes a row on behalf of a replica or operator; an empty value deletes it.
func (store *store) put(table, key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.apply(row{Table: table, Key: key, Value: value, Deleted: len(value) == 0})
}

// apply adds a change at the current version. The mutex is held.
func (store *store) apply(next row) {
	next.Version = store.version
	id := [2]string{next.Table, next.Key}
	if next.Deleted {
		delete(store.rows, id)
	} else {
		store.rows[id] = next
	}
	store.history = append(store.history, next)
	store.journal = append(store.journal, timedRow{next, time.Now()})
	store.changed.Broadcast()
}

// restore makes the store go on from a copy of the given age: all changes since are gone, and their versions are given out
// again.
func (store *store) restore(age time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := time.Now().Add(-age)
	kept := 0
	for kept < len(store.journal) && store.journal[kept].at.Before(copied) {
		kept++
	}
	store.journal = store.journal[:kept]
	store.rows, store.version = map[[2]string]row{}, 0
	for _, change := range store.journal {
		store.version = change.Version
		id := [2]string{change.Table, change.Key}
		if change.Deleted {
			delete(store.rows, id)
		} else {
			store.rows[id] = change.row
		}
	}
	store.era++
	store.history, store.oldest = nil, store.version
	store.changed.Broadcast()
}

// dropHistory drops all changes, so that daemons must read the tables anew.
func (store *store) dropHistory() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history, store.oldest = nil, store.version
}

// beginOutage makes the store refuse all calls, and returns the function that ends that. It answers again once all outages have ended.
func (store *store) beginOutage() (end func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.outages++
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.outages--
	}
}

// loseResponses makes the store carry out so many coming transactions without a response.
func (store *store) loseResponses(count int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.dropResponses = count
}

// ServeHTTP handles one call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	unavailable := store.outages > 0
	writer.Header().Set("Store-Era", strconv.FormatUint(store.era, 10))
	store.mutex.Unlock()
	if unavailable {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/rows-get":
		store.get(writer, request)
	case "/rows-feed":
		store.feed(writer, request)
	case "/rows-tx":
		store.transact(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// writeResponse sends rows and the version at which they were read.
func writeResponse(writer http.ResponseWriter, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	if seen, ok := writer.(*viewWriter); ok {
		for index := range rows {
			rows[index] = seen.view.rewrite(rows[index])
		}
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "morePages": false, "ver": version, "nowMs": time.Now().UnixMilli()})
}

// get returns the rows of a table from a key on.
func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var found []row
	for id, next := range store.rows {
		if id[0] == query.Get("table") && id[1] >= query.Get("from") {
			found = append(found, next)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	writeResponse(writer, found, store.version)
}

// feed returns the changes of a table after a version, and waits for one if there is none.
func (store *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), store.changed.Broadcast)
	defer timer.Stop()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	era := store.era
	for {
		if after < store.oldest || after > store.version || era != store.era {
			writer.WriteHeader(http.StatusGone)
			return
		}
		var found []row
		for _, next := range store.history {
			if next.Table == query.Get("table") && next.Version > after {
				found = append(found, next)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			writeResponse(writer, found, store.version)
			return
		}
		store.changed.Wait()
	}
}

// transact applies changes if all expected versions match.
func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		ExpectedRev, Puts, Remove []row
	}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, condition := range call.ExpectedRev {
		if store.rows[[2]string{condition.Table, condition.Key}].Version != condition.Version {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	store.version++
	for _, next := range call.Puts {
		store.apply(next)
	}
	for _, next := range call.Remove {
		next.Deleted = true
		store.apply(next)
	}
	if store.dropResponses > 0 {
		store.dropResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"ver": store.version, "nowMs": time.Now().UnixMilli()})
}
