package daemon

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/settings"
	"github.com/bronzestall/bronzestall/upstream"
)

// directory tells the dispatcher what can serve a request.
type directory struct {
	dataCentre string
	fleet      *fleet.Fleet
	state      inForce
}

// Replicas returns the ready replicas of the version in force in each data centre. A data centre
// without one is served by its replicas of other versions until the new one is ready there.
func (directory *directory) Replicas(target catalogue.Target) (dispatch.Snapshot, error) {
	known, err := directory.state.catalogue()
	if err != nil {
		return dispatch.Snapshot{}, err
	}
	model, adapter, failure := known.Resolve(target)
	if failure != nil {
		return dispatch.Snapshot{}, failure
	}
	changed := directory.fleet.Changed()
	places := directory.fleet.HostedReplicas(model.Name)
	snapshot := directory.snapshot(places, model, changed)
	snapshot.AdapterVersion = adapter.Version
	return snapshot, nil
}

func (directory *directory) snapshot(places []fleet.HostedReplica, model catalogue.Model, changed <-chan struct{}) dispatch.Snapshot {
	current := currentIn(places, model.Version)
	snapshot := dispatch.Snapshot{Changed: changed}
	for _, place := range places {
		dataCentre := place.Entry.Member.DataCentre
		if place.Replica.Phase != upstream.Ready {
			continue
		}
		if current[dataCentre] && place.Replica.Version != model.Version {
			continue
		}
		if dataCentre == directory.dataCentre {
			snapshot.Local = append(snapshot.Local, routeCandidate(place, model))
		} else {
			snapshot.Remote = append(snapshot.Remote, routeCandidate(place, model))
		}
	}
	return snapshot
}

// currentIn tells which data centres have a ready replica of the version that takes new work.
func currentIn(places []fleet.HostedReplica, version string) map[string]bool {
	current := map[string]bool{}
	for _, place := range places {
		if place.Replica.Phase == upstream.Ready && place.Replica.Version == version && !place.Entry.Leaving() {
			current[place.Entry.Member.DataCentre] = true
		}
	}
	return current
}

func routeCandidate(place fleet.HostedReplica, model catalogue.Model) route.Candidate {
	return route.Candidate{
		Upstream: place.Entry.Member.Name,
		BootID:   place.Entry.State.BootID,
		Version:  place.Replica.Version,
		Slots:    model.Concurrency,
		Running:  place.Replica.Running,
		Waiting:  place.Replica.Waiting,
		Reported: place.Entry.AsOf,
		Adapters: place.Replica.Adapters,
		Role:     place.Entry.State.Role,
		Leaving:  place.Entry.Leaving(),
	}
}

// Service returns the upstreams of a plain service.
func (directory *directory) Service(name string) (dispatch.Snapshot, error) {
	known, err := directory.state.catalogue()
	if err != nil {
		return dispatch.Snapshot{}, err
	}
	service, failure := known.ResolveService(name)
	if failure != nil {
		return dispatch.Snapshot{}, failure
	}
	snapshot := dispatch.Snapshot{Changed: directory.fleet.Changed()}
	for _, upstreamName := range service.Upstreams {
		directory.addService(&snapshot, upstreamName)
	}
	return snapshot, nil
}

func (directory *directory) addService(snapshot *dispatch.Snapshot, name string) {
	known, ok := directory.fleet.Upstream(name)
	if !ok || known.Member.Kind != settings.ServiceKind {
		return
	}
	made := route.Candidate{Upstream: name, Leaving: known.Leaving()}
	if known.Member.DataCentre == directory.dataCentre {
		snapshot.Local = append(snapshot.Local, made)
	} else {
		snapshot.Remote = append(snapshot.Remote, made)
	}
}
