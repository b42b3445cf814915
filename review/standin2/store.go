package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of one response of the store.
const (
	maxRowsPerPage  = 500
	maxPartsPerPage = 1000
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

// id identifies the row.
func (row row) id() [3]string { return [3]string{row.Table, row.Part, row.Key} }

// store is a sound store of the platform that keeps its rows in memory.
type store struct {
	begun time.Time

	mutex   sync.Mutex
	changed *sync.Cond
	rows    map[[3]string]row
	history []row
	version uint64
}

func newStore() *store {
	created := &store{begun: time.Now(), rows: map[[3]string]row{}}
	created.changed = sync.NewCond(&created.mutex)
	return created
}

// put writes a row for the operator or a replica; an empty value deletes it.
func (store *store) put(table, key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.apply(row{Table: table, Key: key, Value: value, Deleted: len(value) == 0})
}

// apply adds a change at the current version. The mutex is held.
func (store *store) apply(next row) {
	next.Version = store.version
	if next.Deleted {
		delete(store.rows, next.id())
	} else {
		store.rows[next.id()] = next
	}
	store.history = append(store.history, next)
	store.changed.Broadcast()
}

// ServeHTTP handles one call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/rows-get":
		store.get(writer, request)
	case "/rows-feed":
		store.feed(writer, request)
	case "/rows-parts":
		store.parts(writer, request)
	case "/rows-tx":
		store.transact(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// now returns the time of the store in milliseconds.
func (store *store) now() int64 { return time.Since(store.begun).Milliseconds() }

func (store *store) write(writer http.ResponseWriter, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	reply(writer, http.StatusOK, map[string]any{"rows": rows, "morePages": more, "ver": version, "nowMs": store.now()})
}

// reply sends a JSON body.
func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// get returns the rows of a part of a table.
func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerPage {
		limit = maxRowsPerPage
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var found []row
	for _, next := range store.rows {
		within := next.Key >= query.Get("from") && (!query.Has("to") || next.Key < query.Get("to"))
		if next.Table == query.Get("table") && next.Part == query.Get("part") && within {
			found = append(found, next)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	store.write(writer, found[:min(limit, len(found))], more, store.version)
}

// parts returns the names of the parts of a table.
func (store *store) parts(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	names := []string{}
	for _, next := range store.rows {
		if next.Table == query.Get("table") && next.Part > query.Get("after") && !slices.Contains(names, next.Part) {
			names = append(names, next.Part)
		}
	}
	slices.Sort(names)
	more := len(names) > maxPartsPerPage
	names = names[:min(maxPartsPerPage, len(names))]
	reply(writer, http.StatusOK, map[string]any{"parts": names, "morePages": more, "ver": store.version, "nowMs": store.now()})
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
	for {
		begin, _ := slices.BinarySearchFunc(store.history, after+1, func(next row, version uint64) int {
			return int(int64(next.Version) - int64(version))
		})
		var found []row
		for _, next := range store.history[begin:] {
			if next.Table == query.Get("table") {
				found = append(found, next)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) || request.Context().Err() != nil {
			store.write(writer, found, false, store.version)
			return
		}
		store.changed.Wait()
	}
}

// transact applies all changes if all expected versions match.
func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		ExpectedRev, Puts, Remove []row
	}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, next := range slices.Concat(call.Puts, call.Remove) {
		if next.Table == "op" || next.Table == "servers" {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current := []row{}
	matches := true
	for _, condition := range call.ExpectedRev {
		found := store.rows[condition.id()]
		matches = matches && found.Version == condition.Version
		if found.Version > 0 {
			current = append(current, found)
		}
	}
	if !matches {
		reply(writer, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": store.version, "nowMs": store.now()})
		return
	}
	store.version++
	for _, next := range call.Puts {
		next.Deleted = false
		store.apply(next)
	}
	for _, next := range call.Remove {
		next.Deleted = true
		store.apply(next)
	}
	reply(writer, http.StatusOK, map[string]any{"ver": store.version, "nowMs": store.now()})
}
