package main

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
	"github.com/bronzestall/bronzestall/status"
)

// printReport writes the status report of a daemon as text.
func printReport(page *page, report status.Report) {
	printDaemon(page, report)
	printInForce(page, report.InForce)
	printDecider(page, report.Decider)
	printPlatform(page, report.Platform)
	printReplicas(page, report.Replicas)
	printUpstreams(page, report.Upstreams)
	printPeers(page, report.Peers)
	printRefusals(page, report)
}

func printDaemon(page *page, report status.Report) {
	state := "ready"
	if !report.Daemon.Ready {
		state = "not ready: " + cmp.Or(report.Daemon.Reason, "no reason given")
	}
	page.line("Daemon %s in %s at %s: %s, %d requests running.", report.Daemon.Name, report.Daemon.DataCentre,
		report.At.Format(time.RFC3339), state, report.Daemon.Running)
	page.line("Build %s, protocol %s.", buildName(report.Daemon.Build), protocolName(report.Daemon.Protocol))
}

// buildName returns the name of a build, or a dash for one that told none.
func buildName(build string) string {
	return cmp.Or(build, "-")
}

// protocolName returns the version of the protocol between daemons, or a dash for a daemon that told none.
func protocolName(version int64) string {
	if version == 0 {
		return "-"
	}
	return fmt.Sprint(version)
}

func printInForce(page *page, inForce status.InForce) {
	if !inForce.Known {
		page.line("In force: not known.")
		return
	}
	page.line("In force: number %d with %d models, %d adapters, %d services.", inForce.Number, inForce.Models, inForce.Adapters, inForce.Services)
	if len(inForce.Behind) > 0 {
		page.line("Not yet in force at: %s.", strings.Join(inForce.Behind, ", "))
	}
}

func printDecider(page *page, decider status.Decider) {
	switch {
	case decider.Mine:
		page.line("Decider: this daemon, fencing number %d.", decider.Fence)
	case decider.Name != "":
		page.line("Decider: %s.", decider.Name)
	default:
		page.line("Decider: not known.")
	}
	if decider.LostFor > 0 {
		page.line("No decider has answered for %s.", age(decider.LostFor))
	}
}

func printPlatform(page *page, platform status.Platform) {
	if platform.TablesAwayFor > 0 {
		page.line("Platform: the number in force could not be read for %s.", age(platform.TablesAwayFor))
	}
	if platform.ListAway {
		page.line("Platform: the VM list cannot be read.")
	}
	if platform.TablesAwayFor == 0 && !platform.ListAway {
		page.line("Platform: answers.")
	}
}

func printReplicas(page *page, replicas []status.Replica) {
	if len(replicas) == 0 {
		page.line("\nNo replica is loaded.")
		return
	}
	page.line("")
	page.row("MODEL", "VERSION", "UPSTREAM", "DATA CENTRE", "PHASE", "USE", "RUNNING", "WAITING", "HEARD")
	for _, replica := range replicas {
		page.row(replica.Model, replica.Version, replica.Upstream, replica.DataCentre, replica.Phase, replica.Use,
			replica.Running, replica.Waiting, age(replica.HeardAgo)+" ago")
	}
}

func printUpstreams(page *page, upstreams []status.Upstream) {
	if len(upstreams) == 0 {
		return
	}
	page.line("")
	page.row("UPSTREAM", "DATA CENTRE", "KIND", "RELEASE", "MEMORY USED", "OF", "STATE", "HEARD")
	for _, upstream := range upstreams {
		state := "serving"
		if upstream.Leaving {
			state = "leaving"
		}
		lastSeen := "never"
		if upstream.Heard {
			lastSeen = age(upstream.HeardAgo) + " ago"
		}
		page.row(upstream.Name, upstream.DataCentre, upstream.Kind, cmp.Or(upstream.Release, "-"), memory(upstream, upstream.Used),
			memory(upstream, upstream.Capacity), state, lastSeen)
	}
}

// memory formats a size in bytes, or returns a dash for an upstream without a reported capacity.
func memory(upstream status.Upstream, bytes int64) string {
	if upstream.Capacity == 0 {
		return "-"
	}
	return strictyaml.FormatSize(bytes)
}

func printPeers(page *page, peers []status.Peer) {
	if len(peers) == 0 {
		return
	}
	page.line("")
	page.row("DAEMON", "DATA CENTRE", "IN FORCE", "RUNNING", "WAITING", "STATE", "BUILD", "PROTOCOL", "HEARD")
	for _, peer := range peers {
		state := "serving"
		if peer.Leaving {
			state = "leaving"
		}
		page.row(peer.Name, peer.DataCentre, peer.InForce, peer.Running, peer.Waiting, state,
			buildName(peer.Build), protocolName(peer.Protocol), age(peer.HeardAgo)+" ago")
	}
}

// printRefusals prints the requests that ended with an error, by kind, and the violated invariants.
func printRefusals(page *page, report status.Report) {
	page.line("")
	if len(report.Refusals) > 0 {
		page.row("REFUSED AS", "SINCE START")
	}
	for _, refusal := range report.Refusals {
		page.row(refusal.Kind, refusal.Count)
	}
	if report.InvariantsBroken > 0 {
		page.line("INVARIANTS BROKEN: %d. Look for the event InvariantBroken in the log.", report.InvariantsBroken)
	}
}

// age formats a duration: from one minute in seconds, from one second in tenths of a second, else in
// milliseconds.
func age(duration time.Duration) string {
	switch {
	case duration >= time.Minute:
		return duration.Round(time.Second).String()
	case duration >= time.Second:
		return duration.Round(100 * time.Millisecond).String()
	default:
		return duration.Round(time.Millisecond).String()
	}
}
