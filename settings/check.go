package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// The accepted ranges of durations and numbers. Both bounds are inclusive.
const (
	minDuration       = 10 * time.Millisecond
	maxCallTimeout    = time.Minute
	maxInterval       = 10 * time.Second
	maxTerm           = 5 * time.Minute
	maxResponseTime   = 24 * time.Hour
	maxLoadsPerSecond = 10_000.0
	maxConcurrency    = 10_000
	maxShare          = 1_000
	maxPriority       = 1_000
	maxWeight         = 1_000_000.0
	maxQueueLength    = 1_000_000
	maxBodyBytes      = int64(1 << 30)
	minBodyBytes      = int64(1 << 10)
)

// check returns the problems of settings whose defaults are filled in.
func check(settings Settings, lines strictyaml.Lines) []strictyaml.Problem {
	checker := &checker{lines: lines}
	checker.daemon(settings)
	checker.dataCentres(settings)
	checker.peers(settings.Peers)
	checker.upstreams(settings)
	checker.platform(settings.Platform)
	checker.lease(settings.Lease)
	checker.weightStore(settings.WeightStore, len(settings.DataCentres))
	checker.tenants(settings.Tenants)
	checker.classes(settings.Classes)
	checker.keepWarm(settings.KeepWarm)
	checker.queue(settings.Queue)
	checker.drain(settings.Drain)
	checker.peerCredentials(settings.PeerCredentials)
	return checker.problems
}

func (checker *checker) daemon(settings Settings) {
	checker.name("Name", settings.Name)
	checker.address("CallerAddress", settings.CallerAddress, true)
	checker.address("OperatorAddress", settings.OperatorAddress, true)
	checker.address("PeerAddress", settings.PeerAddress, true)
	seen := map[string]string{settings.CallerAddress: "CallerAddress"}
	for _, other := range []struct{ key, address string }{
		{"OperatorAddress", settings.OperatorAddress},
		{"PeerAddress", settings.PeerAddress},
	} {
		if first, ok := seen[other.address]; ok && other.address != "" {
			checker.addProblem(other.key, "is the same as %s; each listener needs its own address", first)
		}
		seen[other.address] = other.key
	}
}

func (checker *checker) dataCentres(settings Settings) {
	if len(settings.DataCentres) == 0 {
		checker.addProblem("DataCentres", "is missing; list every data centre")
	}
	for i, centre := range settings.DataCentres {
		checker.name(fmt.Sprintf("DataCentres[%d].Name", i), centre.Name)
		checker.name(fmt.Sprintf("DataCentres[%d].Region", i), centre.Region)
	}
	checker.unique("DataCentres", "Name", fieldValues(settings.DataCentres, func(centre DataCentre) string { return centre.Name }))
	checker.dataCentre("DataCentre", settings.DataCentre, settings)
}

// dataCentre reports a data centre that the settings do not list.
func (checker *checker) dataCentre(key, name string, settings Settings) {
	known := slices.ContainsFunc(settings.DataCentres, func(centre DataCentre) bool { return centre.Name == name })
	if !known {
		checker.addProblem(key, "%q is not in DataCentres", name)
	}
}

func (checker *checker) peers(peers []Peer) {
	for i, peer := range peers {
		checker.name(fmt.Sprintf("Peers[%d].Name", i), peer.Name)
		checker.address(fmt.Sprintf("Peers[%d].Address", i), peer.Address, false)
	}
	checker.unique("Peers", "Name", fieldValues(peers, func(peer Peer) string { return peer.Name }))
	checker.unique("Peers", "Address", fieldValues(peers, func(peer Peer) string { return peer.Address }))
}

func (checker *checker) upstreams(settings Settings) {
	for i, upstream := range settings.Upstreams {
		key := fmt.Sprintf("Upstreams[%d]", i)
		checker.name(key+".Name", upstream.Name)
		checker.address(key+".Address", upstream.Address, false)
		checker.dataCentre(key+".DataCentre", upstream.DataCentre, settings)
		checker.upstreamKind(key, upstream)
	}
	checker.unique("Upstreams", "Name", fieldValues(settings.Upstreams, func(upstream Upstream) string { return upstream.Name }))
	checker.unique("Upstreams", "Address", fieldValues(settings.Upstreams, func(upstream Upstream) string { return upstream.Address }))
}

func (checker *checker) upstreamKind(key string, upstream Upstream) {
	switch upstream.Kind {
	case EngineKind:
	case ServiceKind:
		if upstream.ChecksFencing {
			checker.addProblem(key+".ChecksFencing", "is for engines only")
		}
		if upstream.ChecksBoot {
			checker.addProblem(key+".ChecksBoot", "is for engines only")
		}
		if upstream.Memory != 0 {
			checker.addProblem(key+".Memory", "is for engines only")
		}
	default:
		checker.addProblem(key+".Kind", "%q is not a kind; allowed are %s and %s", upstream.Kind, EngineKind, ServiceKind)
	}
}

func (checker *checker) platform(platform Platform) {
	checker.address("Platform.Address", platform.Address, false)
	checker.duration("Platform.Timeout", platform.Timeout, minDuration, maxCallTimeout)
	checker.duration("Platform.FollowEvery", platform.FollowEvery, minDuration, maxInterval)
	checker.duration("Platform.ListEvery", platform.ListEvery, minDuration, maxInterval)
}

func (checker *checker) lease(lease Lease) {
	checker.duration("Lease.Term", lease.Term, minDuration, maxTerm)
	checker.duration("Lease.RenewEvery", lease.RenewEvery, minDuration, maxTerm)
	if 2*lease.RenewEvery >= lease.Term {
		checker.addProblem("Lease.RenewEvery", "%v is not below half of Lease.Term, which is %v", lease.RenewEvery, lease.Term)
	}
}

func (checker *checker) weightStore(store WeightStore, dataCentres int) {
	if store.LoadsPerSecond <= 0 || store.LoadsPerSecond > maxLoadsPerSecond {
		checker.addProblem("WeightStore.LoadsPerSecond", "%v is out of range; allowed is above 0 and up to %v", store.LoadsPerSecond, maxLoadsPerSecond)
	}
	checkRange(checker, "WeightStore.LoadsAtOnce", store.LoadsAtOnce, 1, maxConcurrency)
	checkRange(checker, "WeightStore.AdaptersInFlight", store.AdaptersInFlight, 1, maxConcurrency)
	if store.AdaptersInFlight < dataCentres {
		checker.addProblem("WeightStore.AdaptersInFlight", "%d is below the number of data centres, %d, each of which gets one at least", store.AdaptersInFlight, dataCentres)
	}
}

func (checker *checker) keepWarm(keepWarm KeepWarm) {
	checkRange(checker, "KeepWarm.ColdStartWeight", keepWarm.ColdStartWeight, 0, maxWeight)
	checkRange(checker, "KeepWarm.IdleHourWeight", keepWarm.IdleHourWeight, 0, maxWeight)
}

func (checker *checker) queue(queue Queue) {
	checkRange(checker, "Queue.PerModel", queue.PerModel, 1, maxQueueLength)
	checkRange(checker, "Queue.Total", queue.Total, 1, maxQueueLength)
	if queue.PerModel > queue.Total {
		checker.addProblem("Queue.PerModel", "%d is above Queue.Total, which is %d", queue.PerModel, queue.Total)
	}
	if queue.BodyBytes < minBodyBytes || queue.BodyBytes > maxBodyBytes {
		checker.addProblem("Queue.BodyBytes", "%s is out of range; allowed is %s to %s", strictyaml.FormatSize(queue.BodyBytes),
			strictyaml.FormatSize(minBodyBytes), strictyaml.FormatSize(maxBodyBytes))
	}
}

func (checker *checker) drain(drain Drain) {
	checker.duration("Drain.Notice", drain.Notice, minDuration, maxTerm)
	checker.duration("Drain.Limit", drain.Limit, minDuration, maxResponseTime)
}

// fieldValues returns one field of each item, in the order of the list.
func fieldValues[T any](list []T, field func(T) string) []string {
	values := make([]string, len(list))
	for i, item := range list {
		values[i] = field(item)
	}
	return values
}

func (checker *checker) peerCredentials(credentials PeerCredentials) {
	if !credentials.IsSet() {
		return
	}
	checker.requireFile("PeerCredentials.CertificateFile", credentials.CertificateFile)
	checker.requireFile("PeerCredentials.KeyFile", credentials.KeyFile)
	checker.requireFile("PeerCredentials.AuthorityFile", credentials.AuthorityFile)
}

// requireFile reports a file name that is not set.
func (checker *checker) requireFile(key, file string) {
	if file == "" {
		checker.addProblem(key, "is missing; set all three files or none")
	}
}
