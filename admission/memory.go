package admission

import (
	"sync"

	"github.com/bronzestall/bronzestall/topology"
)

// meanWeight is the weight of a new request in the mean size of requests.
const meanWeight = 0.05

// Memory counts the tokens that the requests of one daemon need at replicas, prompts and generated text, and estimates those of other
// daemons by the mean size of its own. It is safe for concurrent use. Use NewMemory.
type Memory struct {
	mutex sync.Mutex
	// replicas holds those with requests of this daemon.
	replicas map[topology.Incarnation]usage
	// means maps services to the mean number of tokens of a request.
	means map[string]float64
}

// usage is what the requests of this daemon need at one replica.
type usage struct {
	requests, tokens int
}

// Room describes the memory of a replica and what runs there.
type Room struct {
	// Capacity is the memory of the replica in tokens, and Slots the number of requests that it runs at once.
	Capacity, Slots int
	// InFlight is the number of requests of all daemons that are known at the replica.
	InFlight int
}

// NewMemory returns a count without requests.
func NewMemory() *Memory {
	return &Memory{replicas: map[topology.Incarnation]usage{}, means: map[string]float64{}}
}

// Add counts a request of the service at the replica.
func (memory *Memory) Add(replica topology.Incarnation, service string, tokens int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	used := memory.replicas[replica]
	memory.replicas[replica] = usage{requests: used.requests + 1, tokens: used.tokens + tokens}
	mean, ok := memory.means[service]
	if !ok {
		mean = float64(tokens)
	}
	memory.means[service] = mean + meanWeight*(float64(tokens)-mean)
}

// Remove ends the count of a request that Add counted.
func (memory *Memory) Remove(replica topology.Incarnation, tokens int) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	used := memory.replicas[replica]
	if used.requests <= 1 {
		delete(memory.replicas, replica)
		return
	}
	memory.replicas[replica] = usage{requests: used.requests - 1, tokens: used.tokens - tokens}
}

// Fits reports whether a request with the tokens fits in the memory of the replica beside what runs there, as far as is known. Requests
// that wait there for a slot need no memory yet. A replica with no other request takes any.
func (memory *Memory) Fits(replica topology.Incarnation, service string, tokens int, room Room) bool {
	if room.Capacity <= 0 || room.InFlight <= 0 {
		return true
	}
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	own := memory.replicas[replica]
	needed := float64(own.tokens) + memory.means[service]*float64(max(room.InFlight-own.requests, 0))
	if waiting := room.InFlight - (room.Slots - 1); waiting > 0 && room.Slots > 1 {
		needed *= 1 - float64(waiting)/float64(room.InFlight)
	}
	return needed+float64(tokens) <= float64(room.Capacity)
}
