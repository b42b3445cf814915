package weights

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"net/http"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// errUnavailable is the error of transfers while the fault Absent is active.
var errUnavailable = errors.New("weight store is absent")

// Server is the simulated weight store. It is safe for concurrent use. Use New.
type Server struct {
	answer.Control[Faults, Counts]

	settings Settings
	clock    clock.Clock
	mux      *http.ServeMux

	rate *rate.Limiter
}

// New returns a store that holds every checkpoint and adapter.
func New(settings Settings, clk clock.Clock) *Server {
	settings = settings.withDefaults()
	server := &Server{
		settings: settings,
		clock:    clk,
		mux:      http.NewServeMux(),
		rate:     rate.NewLimiter(rate.Limit(settings.LoadsPerSecond), settings.LoadsAtOnce),
	}
	server.Recorded = Counts{Loads: map[string]int{}}
	server.mux.HandleFunc("POST /weights/fetch", server.fetch)
	server.Handle(server.mux, "/weights", server.Counts)
	return server
}

// ServeHTTP serves one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// Counts returns a copy of the counters.
func (server *Server) Counts() Counts {
	server.Lock()
	defer server.Unlock()
	counts := server.Recorded
	counts.Loads = maps.Clone(counts.Loads)
	return counts
}

// Fetch blocks for the duration of one transfer. It returns an error if the store is unavailable or the context
// ends first. The size of adapters is ignored.
func (server *Server) Fetch(ctx context.Context, name string, bytes int64, adapter bool) error {
	if err := server.beginTransfer(name, adapter); err != nil {
		return err
	}
	defer server.endTransfer(adapter)
	step := server.duration(name, bytes, adapter) / steps
	for range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-server.clock.After(time.Duration(float64(step) * server.slowdown(adapter))):
		}
	}
	return nil
}

func (server *Server) duration(name string, bytes int64, adapter bool) time.Duration {
	if !adapter {
		return time.Duration(float64(bytes) / float64(server.settings.BytesPerSecond) * float64(time.Second))
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	span := uint32((adapterSlowest - adapterFastest) / time.Millisecond)
	return adapterFastest + time.Duration(hash.Sum32()%(span+1))*time.Millisecond
}

func (server *Server) beginTransfer(name string, adapter bool) error {
	server.Lock()
	defer server.Unlock()
	if server.ActiveFaults.Absent {
		return errUnavailable
	}
	counts := &server.Recorded
	if adapter {
		counts.Adapters++
		counts.AdaptersNow++
		counts.AdaptersPeak = max(counts.AdaptersPeak, counts.AdaptersNow)
		return nil
	}
	if !server.rate.AllowN(server.clock.Now(), 1) {
		counts.OverRate++
	}
	counts.Loads[name]++
	counts.LoadsNow++
	counts.LoadsPeak = max(counts.LoadsPeak, counts.LoadsNow)
	return nil
}

func (server *Server) endTransfer(adapter bool) {
	server.Lock()
	defer server.Unlock()
	if adapter {
		server.Recorded.AdaptersNow--
		return
	}
	server.Recorded.LoadsNow--
}

// slowdown returns the current factor on the duration of transfers.
func (server *Server) slowdown(adapter bool) float64 {
	server.Lock()
	defer server.Unlock()
	factor := float64(server.Recorded.LoadsNow) / float64(server.settings.LoadsAtOnce)
	if adapter {
		factor = float64(server.Recorded.AdaptersNow) / float64(server.settings.AdaptersAtOnce)
	}
	return max(factor, 1) * max(server.ActiveFaults.SlowFactor, 1)
}

func (server *Server) fetch(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Name    string
		Bytes   int64
		Adapter bool
	}
	if !answer.Decode(writer, request, &body) {
		return
	}
	if err := server.Fetch(request.Context(), body.Name, body.Bytes, body.Adapter); err != nil {
		answer.JSON(writer, http.StatusServiceUnavailable, struct{ Reason string }{err.Error()})
	}
}
