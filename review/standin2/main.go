// Command standin2 plays one case of the second review: it starts stand-ins of the platform, the replicas and the clients, and four
// machines with the front daemon of the deploy file, and checks one rule.
//
// It is run in the root of the repository as "target/review/standin2 CASE RECORD". It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The results of a case.
const (
	held = iota
	broken
	notRun
)

// warmUp is the time from the start of the machines to that of the clients, and calm that until the disruption.
const (
	warmUp = 4 * time.Second
	calm   = 3 * time.Second
)

// bed is what a case is played on.
type bed struct {
	record   *record
	store    *store
	machines []*machine
	replicas []*replica
	clients  []*client
	// proxies carry the connections of the machines to the store.
	proxies []*storeProxy
	trouble bool
}

// cases maps names to what plays them, once all is calm, and returns what they came to.
var cases = map[string]func(bed *bed) int{
	"heads":      playHeads,
	"models":     playModels,
	"paths":      playPaths,
	"heartbeats": playHeartbeats,
	"zero":       playZero,
	"silence":    playSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(notRun)
	}
	result, err := play(cases[os.Args[1]], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		result = notRun
	}
	os.Exit(result)
}

// play plays a case.
func play(check func(bed *bed) int, path string) (int, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := newRecord(path)
	if err != nil {
		return notRun, err
	}
	bed, err := newBed(folder, record)
	if err != nil {
		return notRun, err
	}
	for _, machine := range bed.machines {
		go machine.run()
	}
	defer func() {
		for _, machine := range bed.machines {
			machine.stop()
		}
	}()
	time.Sleep(warmUp)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for _, client := range bed.clients {
		client.run(ctx, &clients, 100*time.Millisecond)
	}
	time.Sleep(calm)
	for _, client := range bed.clients {
		if client.served.Load() == 0 {
			return notRun, fmt.Errorf("%s serves nothing in calm", client.machine.name)
		}
	}
	result := check(bed)
	for _, client := range bed.clients {
		record.add("%s at %s: %d of %d ordinary requests served", client.name, client.machine.name, client.served.Load(), client.sent.Load())
	}
	for _, machine := range bed.machines {
		record.add("%s: at most %d MiB, %d ends, %d of them for its memory", machine.name, machine.peakMb, machine.ended, machine.overMemory)
	}
	record.add("result: %d", result)
	return result, nil
}

// newBed starts the store and the replicas, and prepares four machines in three zones.
func newBed(folder string, record *record) (*bed, error) {
	bed := &bed{record: record, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	net2 := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	listener, err := net.Listen("tcp", net2+"200:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, bed.store) }()
	bed.store.put("op", "config", configuration(firstVersion))
	zones := []string{"bajio-a", "bajio-b", "bajio-c"}
	for number := range 9 {
		engine := number < 3
		service := []string{"asistente", movedFrom, movedTo}[number/3]
		models := []string{}
		if engine {
			models = []string{"m0", fmt.Sprintf("m%d", number+1)}
		}
		next, err := newReplica(fmt.Sprintf("i-%d", number), service, zones[number%3], fmt.Sprintf("%s%d", net2, 100+number), models, engine, bed.store, record)
		if err != nil {
			return nil, err
		}
		bed.replicas = append(bed.replicas, next)
	}
	var seeds []string
	for number, zone := range []string{"bajio-a", "bajio-a", "bajio-b", "bajio-c"} {
		next, err := newMachine(fmt.Sprintf("front-%s-%d", zone, number+1), zone, fmt.Sprintf("%s%d", net2, 10+number), folder, record)
		if err != nil {
			return nil, err
		}
		bed.machines = append(bed.machines, next)
		bed.clients = append(bed.clients, newClient(fmt.Sprintf("client%d", number), next, record))
		if number > 0 {
			seeds = append(seeds, next.control)
		}
	}
	for _, machine := range bed.machines {
		proxy, err := newStoreProxy(machine.ip, listener.Addr().String())
		if err != nil {
			return nil, err
		}
		bed.proxies = append(bed.proxies, proxy)
		if err := machine.configure(seeds, proxy.listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return bed, nil
}

// configuration returns the configuration of the version, with the limits of the site calabaza-boletos.
func configuration(version int) []byte {
	target, timeout := movedFrom, 5000
	if version >= timeoutVersion {
		timeout = 4000
	}
	if version >= movedVersion {
		target = movedTo
	}
	route := func(path, kind, service string, attempts int, target int) map[string]any {
		resumable := path == pathResume
		return map[string]any{
			"name": "r-" + strings.ReplaceAll(path[1:len(path)-1], "/", "-"), "host": host, "pathPrefix": path, "kind": kind, "service": service, "timeoutMs": timeout,
			"targetLatencyMs": target, "targetGapMs": 250, "priority": 1, "maxAttempts": attempts, "resumable": resumable, "sticky": kind == "streaming",
		}
	}
	var models []map[string]any
	for number := range 6 {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", number), "weightsMb": 34300, "loadTimeS": 6, "adapters": 0, "adapterMb": 40, "warmS": 0.42, "diskS": 0.6,
		})
	}
	content, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route(pathCall, "non_idempotent", "taquilla", 1, 100), route(pathLookup, "idempotent", "taquilla", 2, 100),
			route(pathStream, "streaming", "asistente", 1, 500),
			route(pathMoved, "idempotent", target, 2, 100),
			route(pathResume, "streaming", "asistente", 2, 500),
			route(pathCharge, "non_idempotent", "taquilla", 1, 100), route(pathState, "idempotent", "taquilla", 2, 100),
		},
		"services": []any{
			map[string]any{"name": movedTo, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "taquilla", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "asistente", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 140294, "kvTokenBytes": 327680, "linkMbps": 740000, "weightsMb": 34300 * modelsPerEngine,
				"maxAdapters": 8, "loadsPerS": 5.3, "models": models,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return content
}
