package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// The bounds of times and numbers.
const (
	shortest        = 10 * time.Millisecond
	longestCall     = time.Minute
	longestInterval = 10 * time.Second
	longestTerm     = 5 * time.Minute
	longestAnswer   = 24 * time.Hour
	mostPerSecond   = 10_000.0
	mostAtOnce      = 10_000
	mostShare       = 1_000
	mostPriority    = 1_000
	mostWeight      = 1_000_000.0
	mostWaiting     = 1_000_000
	mostBody        = int64(1 << 30)
	smallestBody    = int64(1 << 10)
)

// check returns what is wrong with settings whose defaults are filled in.
func check(settings Settings, lines strictyaml.Lines) []strictyaml.Problem {
	checker := &checker{lines: lines}
	checker.daemon(settings)
	checker.dataCentres(settings)
	checker.peers(settings.Peers)
	checker.upstreams(settings)
	checker.platform(settings.Platform)
	checker.lease(settings.Lease)
	checker.weightStore(settings.WeightStore)
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
	own := map[string]string{settings.CallerAddress: "CallerAddress"}
	for _, other := range []struct{ key, address string }{
		{"OperatorAddress", settings.OperatorAddress},
		{"PeerAddress", settings.PeerAddress},
	} {
		if first, ok := own[other.address]; ok && other.address != "" {
			checker.refuse(other.key, "is the same as %s; each needs its own", first)
		}
		own[other.address] = other.key
	}
}

func (checker *checker) dataCentres(settings Settings) {
	if len(settings.DataCentres) == 0 {
		checker.refuse("DataCentres", "is missing; list every data centre")
	}
	for i, centre := range settings.DataCentres {
		checker.name(fmt.Sprintf("DataCentres[%d].Name", i), centre.Name)
		checker.name(fmt.Sprintf("DataCentres[%d].Region", i), centre.Region)
	}
	checker.unique("DataCentres", "Name", namesOf(settings.DataCentres, func(centre DataCentre) string { return centre.Name }))
	checker.dataCentre("DataCentre", settings.DataCentre, settings)
}

func (checker *checker) dataCentre(key, name string, settings Settings) {
	known := slices.ContainsFunc(settings.DataCentres, func(centre DataCentre) bool { return centre.Name == name })
	if !known {
		checker.refuse(key, "%q is not in DataCentres", name)
	}
}

func (checker *checker) peers(peers []Peer) {
	for i, peer := range peers {
		checker.name(fmt.Sprintf("Peers[%d].Name", i), peer.Name)
		checker.address(fmt.Sprintf("Peers[%d].Address", i), peer.Address, false)
	}
	checker.unique("Peers", "Name", namesOf(peers, func(peer Peer) string { return peer.Name }))
	checker.unique("Peers", "Address", namesOf(peers, func(peer Peer) string { return peer.Address }))
}

func (checker *checker) upstreams(settings Settings) {
	for i, upstream := range settings.Upstreams {
		key := fmt.Sprintf("Upstreams[%d]", i)
		checker.name(key+".Name", upstream.Name)
		checker.address(key+".Address", upstream.Address, false)
		checker.dataCentre(key+".DataCentre", upstream.DataCentre, settings)
		checker.upstreamKind(key, upstream)
	}
	checker.unique("Upstreams", "Name", namesOf(settings.Upstreams, func(upstream Upstream) string { return upstream.Name }))
	checker.unique("Upstreams", "Address", namesOf(settings.Upstreams, func(upstream Upstream) string { return upstream.Address }))
}

func (checker *checker) upstreamKind(key string, upstream Upstream) {
	switch upstream.Kind {
	case EngineKind:
	case ServiceKind:
		if upstream.ChecksFencing {
			checker.refuse(key+".ChecksFencing", "is for engines only")
		}
		if upstream.ChecksBoot {
			checker.refuse(key+".ChecksBoot", "is for engines only")
		}
		if upstream.Memory != 0 {
			checker.refuse(key+".Memory", "is for engines only")
		}
	default:
		checker.refuse(key+".Kind", "%q is not a kind; allowed are %s and %s", upstream.Kind, EngineKind, ServiceKind)
	}
}

func (checker *checker) platform(platform Platform) {
	checker.address("Platform.Address", platform.Address, false)
	checker.duration("Platform.Timeout", platform.Timeout, shortest, longestCall)
	checker.duration("Platform.FollowEvery", platform.FollowEvery, shortest, longestInterval)
	checker.duration("Platform.ListEvery", platform.ListEvery, shortest, longestInterval)
}

func (checker *checker) lease(lease Lease) {
	checker.duration("Lease.Term", lease.Term, shortest, longestTerm)
	checker.duration("Lease.RenewEvery", lease.RenewEvery, shortest, longestTerm)
	if 2*lease.RenewEvery >= lease.Term {
		checker.refuse("Lease.RenewEvery", "%v is not below half of Lease.Term, which is %v", lease.RenewEvery, lease.Term)
	}
}

func (checker *checker) weightStore(store WeightStore) {
	if store.LoadsPerSecond <= 0 || store.LoadsPerSecond > mostPerSecond {
		checker.refuse("WeightStore.LoadsPerSecond", "%v is out of range; allowed is above 0 and up to %v", store.LoadsPerSecond, mostPerSecond)
	}
	between(checker, "WeightStore.LoadsAtOnce", store.LoadsAtOnce, 1, mostAtOnce)
	between(checker, "WeightStore.AdaptersInFlight", store.AdaptersInFlight, 1, mostAtOnce)
}

func (checker *checker) keepWarm(keepWarm KeepWarm) {
	between(checker, "KeepWarm.ColdStartWeight", keepWarm.ColdStartWeight, 0, mostWeight)
	between(checker, "KeepWarm.IdleHourWeight", keepWarm.IdleHourWeight, 0, mostWeight)
}

func (checker *checker) queue(queue Queue) {
	between(checker, "Queue.PerModel", queue.PerModel, 1, mostWaiting)
	between(checker, "Queue.Total", queue.Total, 1, mostWaiting)
	if queue.PerModel > queue.Total {
		checker.refuse("Queue.PerModel", "%d is above Queue.Total, which is %d", queue.PerModel, queue.Total)
	}
	if queue.BodyBytes < smallestBody || queue.BodyBytes > mostBody {
		checker.refuse("Queue.BodyBytes", "%s is out of range; allowed is %s to %s", strictyaml.FormatSize(queue.BodyBytes),
			strictyaml.FormatSize(smallestBody), strictyaml.FormatSize(mostBody))
	}
}

func (checker *checker) drain(drain Drain) {
	checker.duration("Drain.Notice", drain.Notice, shortest, longestTerm)
	checker.duration("Drain.Limit", drain.Limit, shortest, longestAnswer)
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, len(list))
	for i, item := range list {
		names[i] = name(item)
	}
	return names
}

func (checker *checker) peerCredentials(credentials PeerCredentials) {
	if !credentials.IsSet() {
		return
	}
	checker.named("PeerCredentials.CertificateFile", credentials.CertificateFile)
	checker.named("PeerCredentials.KeyFile", credentials.KeyFile)
	checker.named("PeerCredentials.AuthorityFile", credentials.AuthorityFile)
}

func (checker *checker) named(key, file string) {
	if file == "" {
		checker.refuse(key, "is missing; name all three files or none")
	}
}
