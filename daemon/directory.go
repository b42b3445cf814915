package daemon

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/settings"
	"github.com/bronzestall/bronzestall/upstream"
)

// directory lists the upstreams that can serve a request for the dispatcher.
type directory struct {
	dataCentre string
	fleet      *fleet.Fleet
	state      inForce
}

// Replicas returns the ready replicas of the version in force in each data centre. In a data centre
// without one, ready replicas of other versions serve until the new version is ready there. It fails if
// the catalogue is not known yet or the target is not in force.
func (directory *directory) Replicas(target catalogue.Target) (dispatch.Snapshot, error) {
	current, err := directory.state.catalogue()
	if err != nil {
		return dispatch.Snapshot{}, err
	}
	model, adapter, failure := current.Resolve(target)
	if failure != nil {
		return dispatch.Snapshot{}, failure
	}
	changed := directory.fleet.Changed()
	instances := directory.fleet.HostedReplicas(model.Name)
	snapshot := directory.snapshot(instances, model, changed)
	snapshot.AdapterVersion = adapter.Version
	return snapshot, nil
}

// snapshot selects the ready replicas and separates those of the own data centre from the others.
func (directory *directory) snapshot(instances []fleet.HostedReplica, model catalogue.Model, changed <-chan struct{}) dispatch.Snapshot {
	current := dataCentresWithVersion(instances, model.Version)
	snapshot := dispatch.Snapshot{Changed: changed}
	for _, instance := range instances {
		dataCentre := instance.Entry.Member.DataCentre
		if instance.Replica.Phase != upstream.Ready {
			continue
		}
		if current[dataCentre] && instance.Replica.Version != model.Version {
			continue
		}
		if dataCentre == directory.dataCentre {
			snapshot.Local = append(snapshot.Local, routeCandidate(instance, model))
		} else {
			snapshot.Remote = append(snapshot.Remote, routeCandidate(instance, model))
		}
	}
	return snapshot
}

// dataCentresWithVersion returns the data centres with a ready replica of the version on an upstream that
// is not leaving.
func dataCentresWithVersion(instances []fleet.HostedReplica, version string) map[string]bool {
	current := map[string]bool{}
	for _, instance := range instances {
		if instance.Replica.Phase == upstream.Ready && instance.Replica.Version == version && !instance.Entry.Leaving() {
			current[instance.Entry.Member.DataCentre] = true
		}
	}
	return current
}

func routeCandidate(instance fleet.HostedReplica, model catalogue.Model) route.Candidate {
	return route.Candidate{
		Upstream: instance.Entry.Member.Name,
		BootID:   instance.Entry.State.BootID,
		Version:  instance.Replica.Version,
		Release:  releaseOf(instance.Entry.State),
		Slots:    model.Concurrency,
		Running:  instance.Replica.Running,
		Waiting:  instance.Replica.Waiting,
		Reported: instance.Entry.AsOf,
		Adapters: instance.Replica.Adapters,
		Role:     instance.Entry.State.Role,
		Leaving:  instance.Entry.Leaving(),
	}
}

// releaseOf returns the release of the engine. One that names none has a release of its own for each boot.
func releaseOf(state upstream.State) string {
	if state.Release != "" {
		return "named/" + state.Release
	}
	return "unnamed/" + state.Upstream + "/" + state.BootID
}

// Service returns the upstreams of a plain service. It fails if the catalogue is not known yet or the service
// is not in force.
func (directory *directory) Service(name string) (dispatch.Snapshot, error) {
	current, err := directory.state.catalogue()
	if err != nil {
		return dispatch.Snapshot{}, err
	}
	service, failure := current.ResolveService(name)
	if failure != nil {
		return dispatch.Snapshot{}, failure
	}
	snapshot := dispatch.Snapshot{Changed: directory.fleet.Changed()}
	for _, upstreamName := range service.Upstreams {
		directory.addService(&snapshot, upstreamName)
	}
	return snapshot, nil
}

// addService adds the upstream to the snapshot if it is a known VM of a plain service.
func (directory *directory) addService(snapshot *dispatch.Snapshot, name string) {
	observed, ok := directory.fleet.Upstream(name)
	if !ok || observed.Member.Kind != settings.ServiceKind {
		return
	}
	candidate := route.Candidate{Upstream: name, Leaving: observed.Leaving()}
	if observed.Member.DataCentre == directory.dataCentre {
		snapshot.Local = append(snapshot.Local, candidate)
	} else {
		snapshot.Remote = append(snapshot.Remote, candidate)
	}
}
