package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md has it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: rows, transactions and the feed of changes. It loses nothing.
type store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	rows    map[[3]string]row
	history []row
	version uint64
	down    bool
	address string
}

// newStore starts a store on a free port of the IP address.
func newStore(ip string) (*store, error) {
	created := &store{rows: map[[3]string]row{}}
	created.changed = sync.NewCond(&created.mutex)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	created.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, created) }()
	return created, nil
}

// put writes a row on behalf of the operator or a replica; without a value it removes it. It reports whether the store was up.
func (store *store) put(table, key string, value []byte) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return false
	}
	store.version++
	store.apply(row{Table: table, Key: key, Value: value, Tombstone: len(value) == 0})
	return true
}

// setDown makes the store answer 503 to all calls, or ends that.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	store.changed.Broadcast()
}

func (store *store) apply(next row) {
	next.Ver = store.version
	id := [3]string{next.Table, next.Part, next.Key}
	if next.Tombstone {
		delete(store.rows, id)
	} else {
		store.rows[id] = next
	}
	store.history = append(store.history, next)
	store.changed.Broadcast()
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	down := store.down
	store.mutex.Unlock()
	writer.Header().Set("Store-Era", "1")
	writer.Header().Set("Content-Type", "application/json")
	if down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch request.URL.Path {
	case "/rows-get":
		store.get(writer, request)
	case "/rows-feed":
		store.feed(writer, request)
	case "/rows-tx":
		store.transact(writer, request)
	case "/rows-parts":
		_ = json.NewEncoder(writer).Encode(map[string]any{"parts": []string{}, "morePages": false, "ver": store.version, "nowMs": time.Now().UnixMilli()})
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) respond(writer http.ResponseWriter, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "morePages": false, "ver": store.version, "nowMs": time.Now().UnixMilli()})
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var found []row
	for id, next := range store.rows {
		inside := id[2] >= query.Get("from") && (query.Get("to") == "" || id[2] < query.Get("to"))
		if id[0] == query.Get("table") && id[1] == query.Get("part") && inside {
			found = append(found, next)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	store.respond(writer, found)
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
	for {
		if store.down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var found []row
		for _, next := range store.history {
			if next.Table == query.Get("table") && next.Ver > after {
				found = append(found, next)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			store.respond(writer, found)
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
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, condition := range call.ExpectedRev {
		if store.rows[[3]string{condition.Table, condition.Part, condition.Key}].Ver != condition.Ver {
			writer.WriteHeader(http.StatusPreconditionFailed)
			var current []row
			for _, named := range call.ExpectedRev {
				if next, ok := store.rows[[3]string{named.Table, named.Part, named.Key}]; ok {
					current = append(current, next)
				}
			}
			store.respond(writer, current)
			return
		}
	}
	store.version++
	for _, next := range call.Puts {
		store.apply(next)
	}
	for _, next := range call.Remove {
		next.Tombstone = true
		store.apply(next)
	}
	store.respond(writer, nil)
}
