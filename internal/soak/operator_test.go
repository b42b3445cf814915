package soak

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/status"
)

// inForce returns the number in force at the platform, or zero if that cannot be read.
func (world *world) inForce() uint64 {
	state, err := world.state()
	if err != nil {
		return 0
	}
	return state.Number
}

// state returns the state in force at the platform.
func (world *world) state() (release.InForce, error) {
	client := datastore.NewClient(datastore.ClientSettings{Address: platformAddress, Dial: world.wires.dialler("operator")}, world.clock)
	defer client.Close()
	return release.NewLedger(client, client, world.clock).InForce(context.Background())
}

// numberAt returns the number in force at a daemon.
func (world *world) numberAt(entry *entry) uint64 {
	report, _ := world.report(entry)
	return report.InForce.Number
}

// report returns what a daemon tells operators, or false if it does not answer.
func (world *world) report(entry *entry) (status.Report, bool) {
	transport := &http.Transport{DialContext: world.wires.dialler("operator"), DisableKeepAlives: true}
	client := http.Client{Transport: transport}
	answer, err := client.Get("http://" + entry.operators() + "/status")
	if err != nil {
		return status.Report{}, false
	}
	defer answer.Body.Close()
	var report status.Report
	err = json.NewDecoder(answer.Body).Decode(&report)
	return report, err == nil
}
