package frontsoak

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// order is the body of an order of a daemon to an engine.
type order struct {
	Operation, Model, Holder  string
	ExpectedRev, FencingToken uint64
}

// order handles an order. A delayed one gets no response and is executed 3 s later.
func (replica *replica) order(writer http.ResponseWriter, body []byte) {
	var next order
	if err := json.Unmarshal(body, &next); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	startedAt := replica.startedAt
	delayed := replica.delayedOrders > 0
	if delayed {
		replica.delayedOrders--
	}
	replica.mutex.Unlock()
	replica.checker.recordOrder(replica.id, startedAt, next)
	if delayed {
		time.AfterFunc(3*time.Second, func() { replica.execute(startedAt, next) })
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(replica.execute(startedAt, next))
}

// execute carries out an order to the given incarnation of the engine, and returns the status of the response.
func (replica *replica) execute(startedAt int64, next order) int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.finishLoad()
	if replica.startedAt != startedAt || replica.loading != "" || replica.revision != next.ExpectedRev {
		return http.StatusConflict
	}
	isLoaded := slices.Contains(replica.models, next.Model)
	if isLoaded == (next.Operation == "load") {
		return http.StatusOK
	}
	replica.revision++
	if next.Operation == "unload" {
		replica.models = slices.DeleteFunc(replica.models, func(name string) bool { return name == next.Model })
		return http.StatusAccepted
	}
	replica.loading, replica.loadedAt = next.Model, time.Now().Add(loadTime)
	if len(replica.models) >= modelsPerEngine {
		replica.checker.recordViolation("%s was ordered to load more than %d models", replica.id, modelsPerEngine)
	}
	return http.StatusAccepted
}
