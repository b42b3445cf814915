package frontsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// testbed holds the daemons, replicas and store of one run.
type testbed struct {
	// folder has the settings and logs of the daemons.
	folder   string
	checker  *checker
	store    *store
	replicas []*replica
	fronts   []*process

	// configureMutex guards version and bodyBytes.
	configureMutex sync.Mutex
	version        uint64
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes int
	random    *rand.Rand
	// accounts maps client accounts to their keys; empty if there are none.
	accounts map[string][]string
}

// newServingTestbed starts the daemons, replicas and store of one run, waits for warmUp, and returns a function that stops the daemons.
func newServingTestbed(t *testing.T, binary string, seed uint64, warmUp time.Duration) (*testbed, func()) {
	testbed := newTestbed(t, *frontsFlag, binary, seed)
	return testbed, testbed.serve(warmUp)
}

// serve starts the daemons and replicas, waits for warmUp, and returns a function that stops the daemons.
func (testbed *testbed) serve(warmUp time.Duration) func() {
	stop := testbed.start()
	time.Sleep(warmUp)
	return stop
}

// start starts the daemons and replicas, and returns a function that stops the daemons.
func (testbed *testbed) start() func() {
	stop := make(chan struct{})
	for _, replica := range testbed.replicas {
		go replica.heartbeat(stop)
	}
	for _, front := range testbed.fronts {
		front.onStart = testbed.checker.recordStart
		go front.supervise()
	}
	return func() {
		for _, front := range testbed.fronts {
			front.terminate()
		}
		close(stop)
	}
}

// newTestbed starts the store and the replicas, and prepares so many daemons. If the test fails, their logs are kept.
func newTestbed(t *testing.T, fronts int, binary string, seed uint64) *testbed {
	created := &testbed{folder: t.TempDir(), checker: newChecker(), store: newStore(), bodyBytes: 64 << 10, random: rand.New(rand.NewPCG(seed, 7))}
	t.Cleanup(func() {
		if t.Failed() {
			saveLogs(t, created.folder, seed)
		}
	})
	created.configure()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = http.Serve(listener, created.store) }()
	for number := range engineCount + plainReplicaCount {
		service := engineService
		if number >= engineCount {
			service = plainService
		}
		next, err := newReplica(fmt.Sprintf("i-%d", number), service, fmt.Sprintf("z%d", number%2), created.checker, created.store)
		if err != nil {
			t.Fatal(err)
		}
		created.replicas = append(created.replicas, next)
	}
	created.fronts, err = newProcesses(fronts, loopbackIP(seed), binary, created.folder, listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return created
}

// configure writes the configuration under a higher version number. Some numbers are skipped.
func (testbed *testbed) configure() {
	testbed.configureMutex.Lock()
	defer testbed.configureMutex.Unlock()
	testbed.version += 1 + testbed.version%3
	route := func(path, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": path, "host": "h.example", "pathPrefix": path, "kind": kind, "service": service, "timeoutMs": 4000,
			"targetLatencyMs": 1500, "targetGapMs": 300, "priority": 1, "maxAttempts": attempts, "resumable": resumable,
		}
	}
	var models []map[string]any
	for _, name := range modelNames() {
		models = append(models, map[string]any{"name": name, "weightsMb": 100, "loadTimeS": 2, "diskS": loadTime.Seconds(), "warmS": loadTime.Seconds()})
	}
	content, _ := json.Marshal(map[string]any{
		"version": testbed.version,
		"tenants": testbed.tenants(),
		"routes": []any{
			route(pathCall, "non_idempotent", plainService, 1, false), route(pathLookup, "idempotent", plainService, 2, false),
			route(pathStream, "streaming", engineService, 1, false), route(pathResume, "streaming", engineService, 2, true),
			route(addedRoute(testbed.version), "idempotent", plainService, 2, false),
		},
		"services": []any{
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 100},
			map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 100, "engine": map[string]any{
				"slots": 8, "weightsMb": 100 * modelsPerEngine, "maxAdapters": 2, "loadsPerS": 5, "models": models,
			}},
		},
		"limits": map[string]any{"maxBodyBytes": testbed.bodyBytes},
	})
	testbed.store.put("op", "config", content)
}

// tenants returns the accounts as the configuration has them.
func (testbed *testbed) tenants() []map[string]any {
	var tenants []map[string]any
	for name, keys := range testbed.accounts {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys})
	}
	return tenants
}

// addresses returns the addresses on which the daemons serve clients.
func (testbed *testbed) addresses() []string {
	var addresses []string
	for _, front := range testbed.fronts {
		addresses = append(addresses, front.client)
	}
	return addresses
}
