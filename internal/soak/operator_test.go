package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/status"
)

// inForce returns the number in force at the platform, or zero if that cannot be read.
func (testbed *testbed) inForce() uint64 {
	state, err := testbed.state()
	if err != nil {
		return 0
	}
	return state.Number
}

// state returns the state in force at the platform.
func (testbed *testbed) state() (release.InForce, error) {
	client := datastore.NewClient(datastore.ClientSettings{Address: platformAddress, Dial: testbed.network.dialler("operator")}, testbed.clock)
	defer client.Close()
	return release.NewLedger(client, client, testbed.clock).InForce(context.Background())
}

// numberAt returns the number in force at a daemon.
func (testbed *testbed) numberAt(entry *entry) uint64 {
	report, _ := testbed.report(entry)
	return report.InForce.Number
}

// report returns the status report of a daemon, or false if it does not respond.
func (testbed *testbed) report(entry *entry) (status.Report, bool) {
	transport := &http.Transport{DialContext: testbed.network.dialler("operator"), DisableKeepAlives: true}
	client := http.Client{Transport: transport}
	response, err := client.Get("http://" + entry.operatorAddress() + "/status")
	if err != nil {
		return status.Report{}, false
	}
	defer response.Body.Close()
	var report status.Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, err == nil
}

// metric returns the sum of a metric over all daemons and labels.
func (testbed *testbed) metric(name string) float64 {
	transport := &http.Transport{DialContext: testbed.network.dialler("operator"), DisableKeepAlives: true}
	client := http.Client{Transport: transport}
	sum := 0.0
	for _, entry := range testbed.entries {
		response, err := client.Get("http://" + entry.operatorAddress() + "/metrics")
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) == 2 && strings.HasPrefix(fields[0], name) {
				value, _ := strconv.ParseFloat(fields[1], 64)
				sum += value
			}
		}
		_ = response.Body.Close()
	}
	return sum
}
