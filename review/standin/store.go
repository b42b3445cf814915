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

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store: linearizable rows with a complete history.
type store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	rows    map[[3]string]row
	history []row
	version uint64
	start   time.Time
	// journal lists all changes with their times, era counts the returns from a copy, and oldest is the version from which on the
	// history is complete.
	journal []change
	era     uint64
	oldest  uint64
	// away is set while the store answers nothing but 503.
	away bool
}

// change is a change with the time at which it was made.
type change struct {
	row
	at time.Time
}

func newStore() *store {
	created := &store{rows: map[[3]string]row{}, start: time.Now(), era: 1}
	created.changed = sync.NewCond(&created.mutex)
	return created
}

// put writes a row on behalf of the operator or a replica; a nil value removes it.
func (store *store) put(table, key string, value []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.away {
		return
	}
	store.version++
	store.apply(row{Table: table, Key: key, Value: value, Tombstone: value == nil})
}

// apply adds a change at the current version. The mutex is held.
func (store *store) apply(next row) {
	next.Version = store.version
	id := [3]string{next.Table, next.Part, next.Key}
	if next.Tombstone {
		delete(store.rows, id)
	} else {
		store.rows[id] = next
	}
	store.history = append(store.history, next)
	store.journal = append(store.journal, change{next, time.Now()})
	store.changed.Broadcast()
}

// leave makes the store answer nothing but 503.
func (store *store) leave() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = true
	store.changed.Broadcast()
}

// comeBack makes the store answer again, from the copy of the time: all later changes are gone, and their versions are given out again.
func (store *store) comeBack(copied time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kept := 0
	for kept < len(store.journal) && store.journal[kept].at.Before(copied) {
		kept++
	}
	store.journal = store.journal[:kept]
	store.rows, store.version, store.history = map[[3]string]row{}, 0, nil
	for _, change := range store.journal {
		store.version = change.Version
		id := [3]string{change.Table, change.Part, change.Key}
		if change.Tombstone {
			delete(store.rows, id)
		} else {
			store.rows[id] = change.row
		}
	}
	store.oldest, store.away = store.version, false
	store.era++
	store.changed.Broadcast()
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	store.mutex.Lock()
	away := store.away
	writer.Header().Set("Store-Era", strconv.FormatUint(store.era, 10))
	store.mutex.Unlock()
	if away {
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

func (store *store) answer(writer http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "morePages": more, "ver": store.version, "nowMs": time.Since(store.start).Milliseconds()})
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var found []row
	for id, next := range store.rows {
		if id[0] == query.Get("table") && id[1] == query.Get("part") && id[2] >= query.Get("from") && (query.Get("to") == "" || id[2] < query.Get("to")) {
			found = append(found, next)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	store.answer(writer, found[:min(limit, len(found))], len(found) > limit)
}

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
		if store.away {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < store.oldest || after > store.version || store.era != era {
			writer.Header().Set("Store-Era", strconv.FormatUint(store.era, 10))
			writer.WriteHeader(http.StatusGone)
			return
		}
		var found []row
		for _, next := range store.history {
			if next.Table == query.Get("table") && next.Version > after {
				found = append(found, next)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) || request.Context().Err() != nil {
			store.answer(writer, found, false)
			return
		}
		store.changed.Wait()
	}
}

func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		ExpectedRev, Puts, Remove []row
	}
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.away {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var current []row
	failed := false
	for _, condition := range call.ExpectedRev {
		found, ok := store.rows[[3]string{condition.Table, condition.Part, condition.Key}]
		failed = failed || found.Version != condition.Version
		if ok {
			current = append(current, found)
		}
	}
	if failed {
		writer.WriteHeader(http.StatusPreconditionFailed)
		store.answer(writer, current, false)
		return
	}
	store.version++
	for _, next := range call.Puts {
		store.apply(next)
	}
	for _, next := range call.Remove {
		next.Tombstone = true
		store.apply(next)
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"ver": store.version, "nowMs": time.Since(store.start).Milliseconds()})
}
