package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/rendezvous"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	// publishInterval is the interval at which the own record is updated without another cause.
	publishInterval = 500 * time.Millisecond
	// applyMinInterval is the shortest time between two reads of the records of other daemons.
	applyMinInterval = 25 * time.Millisecond
	// observersPerEngine is the number of daemons that poll the state of one engine.
	observersPerEngine = 1
)

// peerMembers returns the other daemons of the settings and of the VM list, in no order.
func (daemon *Daemon) peerMembers() []peer.Member {
	byName := map[string]peer.Member{}
	for _, configured := range daemon.settings.Peers {
		byName[configured.Name] = peer.Member{Name: configured.Name, Address: configured.Address}
	}
	for _, vm := range daemon.members.all() {
		if vm.Role == datastore.Entry {
			byName[vm.Name] = peer.Member{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre}
		}
	}
	delete(byName, daemon.settings.Name)
	members := make([]peer.Member, 0, len(byName))
	for _, member := range byName {
		members = append(members, member)
	}
	return members
}

// daemonCount returns the number of known daemons, with this one.
func (daemon *Daemon) daemonCount() int {
	return len(daemon.peerMembers()) + 1
}

// dataCentreOf returns the data centre of a daemon, or an empty name if it is not known.
func (daemon *Daemon) dataCentreOf(name string) string {
	if name == daemon.settings.Name {
		return daemon.settings.DataCentre
	}
	if other, ok := daemon.node.Record(name); ok {
		return other.Record.DataCentre
	}
	return daemon.peerMember(name).DataCentre
}

// peerAddress returns the address of a daemon for calls of other daemons, or an empty string if it is not
// known.
func (daemon *Daemon) peerAddress(name string) string {
	if other, ok := daemon.node.Record(name); ok && other.Record.PeerAddress != "" {
		return other.Record.PeerAddress
	}
	return daemon.peerMember(name).Address
}

// peerMember returns another daemon of the settings or of the VM list, or the zero value.
func (daemon *Daemon) peerMember(name string) peer.Member {
	for _, member := range daemon.peerMembers() {
		if member.Name == name {
			return member
		}
	}
	return peer.Member{}
}

// liveIn returns the live daemons of a data centre: those that were last seen recently and are not leaving.
func (daemon *Daemon) liveIn(dataCentre string) []string {
	if dataCentre == daemon.settings.DataCentre {
		return daemon.node.Live()
	}
	oldest := daemon.clock.Now().Add(-remoteLiveAge)
	var live []string
	for _, other := range daemon.node.Records() {
		if other.Record.DataCentre == dataCentre && !other.Record.Leaving && other.LastSeen.After(oldest) {
			live = append(live, other.Record.Name)
		}
	}
	return live
}

// remoteLiveAge is the time since it was last seen up to which a daemon of another data centre counts as live.
const remoteLiveAge = 15 * time.Second

// assigned returns the engines that this daemon polls: its share of the engines of its own data centre and
// of data centres without a live daemon.
func (daemon *Daemon) assigned() []string {
	var names []string
	observers := map[string][]string{}
	for _, observed := range daemon.fleet.Entries() {
		member := observed.Member
		if member.Kind != settings.EngineKind {
			continue
		}
		if _, ok := observers[member.DataCentre]; !ok {
			observers[member.DataCentre] = daemon.observersOf(member.DataCentre)
		}
		if slices.Contains(rendezvous.Choose(member.Name, observers[member.DataCentre], observersPerEngine), daemon.settings.Name) {
			names = append(names, member.Name)
		}
	}
	return names
}

// observersOf returns the daemons that divide the engines of a data centre: its own live daemons, or those
// of this daemon's data centre if it has none.
func (daemon *Daemon) observersOf(dataCentre string) []string {
	if live := daemon.liveIn(dataCentre); len(live) > 0 {
		return live
	}
	return daemon.node.Live()
}

// publishRecord updates the own record when upstreams or notes change, and at each interval.
func (daemon *Daemon) publishRecord(ctx context.Context) error {
	for {
		upstreams, notes := daemon.fleet.Changed(), daemon.follower.Changed()
		daemon.node.Update(daemon.recordUpdate())
		select {
		case <-upstreams:
		case <-notes:
		case <-daemon.clock.After(publishInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordUpdate returns a function that updates the own record. All values are read beforehand, because the
// node calls the function while it holds its lock.
func (daemon *Daemon) recordUpdate() func(last peer.Record) peer.Record {
	_, number, _ := daemon.catalogue()
	running := int(daemon.arrivals.running())
	observations := daemon.observations()
	suspects := daemon.suspects.export()
	backlogs := toBacklogs(daemon.dispatcher.TenantLoads())
	waiting := 0
	for _, backlog := range backlogs {
		waiting += backlog.Waiting
	}
	return func(last peer.Record) peer.Record {
		last.InForce = number
		last.Running = running
		last.Waiting = waiting
		last.Observations = observations
		last.Suspects = suspects
		last.Backlogs = backlogs
		return last
	}
}

// observations returns the engine states that this daemon has polled itself.
func (daemon *Daemon) observations() []peer.Observation {
	var result []peer.Observation
	for _, observed := range daemon.fleet.Entries() {
		if observed.Direct && observed.State.BootID != "" {
			result = append(result, peer.Observation{Seen: observed.AsOf, State: observed.State})
		}
	}
	return result
}

// applyRecords applies the records of other daemons whenever one changes.
func (daemon *Daemon) applyRecords(ctx context.Context) error {
	for {
		changed := daemon.node.Changed()
		records := daemon.node.Records()
		for _, other := range records {
			daemon.applyRecord(other.Record)
		}
		daemon.backlogs.set(daemon.localRecords(records))
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		daemon.clock.Sleep(applyMinInterval)
	}
}

// localRecords returns the records of the other live daemons of the own data centre.
func (daemon *Daemon) localRecords(records []peer.Peer) []peer.Record {
	live := daemon.node.Live()
	var localRecords []peer.Record
	for _, other := range records {
		if slices.Contains(live, other.Record.Name) {
			localRecords = append(localRecords, other.Record)
		}
	}
	return localRecords
}

// applyRecord takes suspects and engine states from the record, and announces its number in force to the
// follower.
func (daemon *Daemon) applyRecord(record peer.Record) {
	daemon.suspects.Import(record.Suspects)
	for _, observation := range record.Observations {
		daemon.fleet.Put(observation.State, observation.Seen, false)
	}
	daemon.follower.Offer(record.InForce, peerNotes{daemon.node, record.PeerAddress})
}
