package frontsoak

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// order is an order on the wire.
type order struct {
	Operation, Model, Holder  string
	ExpectedRev, FencingToken uint64
}

func (replica *replica) order(writer http.ResponseWriter, body []byte) {
	var next order
	if err := json.Unmarshal(body, &next); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mutex.Lock()
	born := replica.born
	late := replica.lateNext > 0
	if late {
		replica.lateNext--
	}
	replica.mutex.Unlock()
	replica.judge.ordered(replica.id, born, next)
	if late {
		time.AfterFunc(3*time.Second, func() { replica.carryOut(born, next) })
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(replica.carryOut(born, next))
}

func (replica *replica) carryOut(born int64, next order) int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.settle()
	if replica.born != born || replica.loading != "" || replica.orders != next.ExpectedRev {
		return http.StatusConflict
	}
	held := slices.Contains(replica.models, next.Model)
	if held == (next.Operation == "load") {
		return http.StatusOK
	}
	replica.orders++
	if next.Operation == "unload" {
		replica.models = slices.DeleteFunc(replica.models, func(name string) bool { return name == next.Model })
		return http.StatusAccepted
	}
	replica.loading, replica.until = next.Model, time.Now().Add(loadTime)
	if len(replica.models) >= roomFor {
		replica.judge.breach("%s was ordered to hold more than %d models", replica.id, roomFor)
	}
	return http.StatusAccepted
}
