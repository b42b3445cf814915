// Command standin plays one case of the review: a small deployment of front daemons as processes, with stand-ins for the platform's
// store, the replicas and the clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// none is the trouble of a run without a disruption.
const none = "0"

// bed is the deployment of one case, with its store and replicas.
type bed struct {
	*deployment
	rows *store
	base string
	// trouble is what TROUBLE names: none, one of the disruptions, or all of them if it is empty.
	trouble  string
	replicas []*replica
}

// cases maps the names of cases to their plays. A play returns whether the rule was broken.
var cases = map[string]func(bed *bed) (bool, error){
	"version-replaced-while-down": versionReplacedWhileDown,
	"same-name-new-machine":       sameNameNewMachine,
	"version-in-older-copy":       versionInOlderCopy,
	"model-on-other-version":      modelOnOtherVersion,
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", "", "where record.txt is written")
	root := flag.String("root", ".", "the repository")
	flag.Parse()
	os.Exit(play(*name, *folder, *root))
}

// play sets the deployment up, plays the case and ends all that it started.
func play(name, folder, root string) int {
	record, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	run, known := cases[name]
	temporary, err := os.MkdirTemp("", "review-")
	if !known || err != nil {
		record.add("the case %q cannot run: %v", name, err)
		return cannotRun
	}
	defer os.RemoveAll(temporary)
	root, err = filepath.Abs(root)
	if err != nil {
		return cannotRun
	}
	pid := os.Getpid()
	bed := &bed{
		deployment: &deployment{root: root, folder: temporary, record: record}, rows: newStore(),
		base: fmt.Sprintf("127.%d.%d.", 10+pid/250%200, 1+pid%250), trouble: os.Getenv("TROUBLE"),
	}
	defer bed.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		bed.end()
		os.Exit(cannotRun)
	}()
	listener, err := net.Listen("tcp", bed.ip(250)+":0")
	if err != nil {
		record.add("the case cannot run: %v", err)
		return cannotRun
	}
	go func() { _ = http.Serve(listener, bed.rows) }()
	bed.store = listener.Addr().String()
	record.add("case %s, TROUBLE=%q", name, bed.trouble)
	wasBroken, err := run(bed)
	if logs := os.Getenv("KEEP_LOGS"); logs != "" {
		for _, machine := range bed.machines {
			if content, err := os.ReadFile(machine.log); err == nil {
				_ = os.WriteFile(filepath.Join(logs, filepath.Base(machine.log)), content, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		return cannotRun
	case wasBroken:
		record.add("the rule was broken")
		return broken
	}
	record.add("the rule held")
	return held
}

// ip returns one of the loopback addresses of this play.
func (bed *bed) ip(last int) string { return fmt.Sprint(bed.base, last) }

// end ends all processes.
func (bed *bed) end() {
	for _, machine := range bed.machines {
		machine.kill()
	}
}

// The names of the deployment: hosts, paths and services as a day may have them.
const (
	host           = "ficu95.example"
	planPath       = "/pufi791/"
	chatPath       = "/lohu930/"
	chargePath     = "/puxa403/"
	lookupPath     = "/cufi504/"
	engineService  = "huvo11a"
	plainService   = "xano55b"
	zoneCount      = 3
	heldModel      = "daka510000"
	weightsOfModel = 34300.0
)

// zone returns the name of a zone.
func zone(number int) string { return []string{"bajio-a", "bajio-b", "bajio-c"}[number%zoneCount] }

// configure writes the operator's configuration, with the routes of the sheet of calabaza-boletos.
func (bed *bed) configure(models []string, adapters int) {
	var list []map[string]any
	for _, name := range models {
		list = append(list, map[string]any{"name": name, "weightsMb": weightsOfModel, "loadTimeS": loadTime.Seconds(), "adapters": adapters, "adapterMb": 40.0, "warmS": 0.42, "diskS": 0.6})
	}
	route := func(name, path, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		content := map[string]any{
			"name": name, "host": host, "pathPrefix": path, "kind": kind, "service": service, "timeoutMs": timeout,
			"targetLatencyMs": target, "priority": 1, "maxAttempts": attempts, "resumable": resumable, "sticky": kind == "streaming",
		}
		if kind == "streaming" {
			content["targetGapMs"] = 250
		}
		return content
	}
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			route("r-plan", planPath, "streaming", engineService, 30000, 3000, 2, true),
			route("r-chat", chatPath, "streaming", engineService, 15000, 500, 1, false),
			route("r-charge", chargePath, "non_idempotent", plainService, 800, 100, 1, false),
			route("r-lookup", lookupPath, "idempotent", plainService, 800, 100, 2, false),
		},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 360, "engine": map[string]any{
				"slots": 64, "kvCapacity": 140294, "hostMb": 130000.0, "diskMb": 1100000.0, "weightsMb": 200000.0, "maxAdapters": maxAdapters, "loadsPerS": 5.3, "models": list,
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 96},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	bed.rows.put("op", "config", value)
}

// addReplica starts a replica.
func (bed *bed) addReplica(next *replica, last int) error {
	next.record, next.store = bed.record, bed.rows
	bed.replicas = append(bed.replicas, next)
	return startReplica(next, bed.ip(last))
}

// startMachines starts the four machines of the sheet, in three zones, and waits until they are ready.
func (bed *bed) startMachines() error {
	for number, zone := range []string{"bajio-a", "bajio-a", "bajio-b", "bajio-c"} {
		machine := bed.newMachine(fmt.Sprintf("front-%s-%d", zone, 1+number%2), zone, bed.ip(1+number))
		bed.machines = append(bed.machines, machine)
		if len(bed.seeds) < 3 {
			bed.seeds = append(bed.seeds, machine.listen)
		}
	}
	for _, machine := range bed.machines {
		if err := bed.start(machine); err != nil {
			return err
		}
	}
	return bed.awaitReady(seconds(15))
}
