package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	// tellEvery is the interval at which the own record is brought up to date.
	tellEvery = 500 * time.Millisecond
	// hearPause is the shortest time between two looks at the records of other daemons.
	hearPause = 25 * time.Millisecond
	// observersEach is the number of daemons that ask one upstream for its state.
	observersEach = 1
)

// peerMembers lists the other daemons of settings and VM list.
func (daemon *Daemon) peerMembers() []peer.Member {
	byName := map[string]peer.Member{}
	for _, known := range daemon.settings.Peers {
		byName[known.Name] = peer.Member{Name: known.Name, Address: known.Address}
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

// daemonCount returns the number of daemons that are known, with this one.
func (daemon *Daemon) daemonCount() int {
	return len(daemon.peerMembers()) + 1
}

// dataCentreOf returns the data centre of a daemon, or an empty name if it is not known.
func (daemon *Daemon) dataCentreOf(name string) string {
	if name == daemon.settings.Name {
		return daemon.settings.DataCentre
	}
	if known, ok := daemon.node.Record(name); ok {
		return known.Record.DataCentre
	}
	return daemon.peerMember(name).DataCentre
}

// peerAddress returns the address of a daemon for other daemons, or an empty one if it is not known.
func (daemon *Daemon) peerAddress(name string) string {
	if known, ok := daemon.node.Record(name); ok && known.Record.PeerAddress != "" {
		return known.Record.PeerAddress
	}
	return daemon.peerMember(name).Address
}

// peerMember returns another daemon of settings and VM list, or the zero value.
func (daemon *Daemon) peerMember(name string) peer.Member {
	for _, member := range daemon.peerMembers() {
		if member.Name == name {
			return member
		}
	}
	return peer.Member{}
}

// liveIn returns the daemons of a data centre that were heard lately and do not leave.
func (daemon *Daemon) liveIn(dataCentre string) []string {
	if dataCentre == daemon.settings.DataCentre {
		return daemon.node.Live()
	}
	oldest := daemon.clock.Now().Add(-remoteLive)
	var live []string
	for _, known := range daemon.node.Records() {
		if known.Record.DataCentre == dataCentre && !known.Record.Leaving && known.LastSeen.After(oldest) {
			live = append(live, known.Record.Name)
		}
	}
	return live
}

// remoteLive is the age up to which a record from another data centre shows a live daemon.
const remoteLive = 15 * time.Second

// assigned returns the engines that this daemon asks for their states: its share of those of its
// own data centre and of data centres without a live daemon.
func (daemon *Daemon) assigned() []string {
	var names []string
	observers := map[string][]string{}
	for _, known := range daemon.fleet.Known() {
		member := known.Member
		if member.Kind != settings.EngineKind {
			continue
		}
		if _, ok := observers[member.DataCentre]; !ok {
			observers[member.DataCentre] = daemon.observersOf(member.DataCentre)
		}
		if slices.Contains(peer.Assigned(member.Name, observers[member.DataCentre], observersEach), daemon.settings.Name) {
			names = append(names, member.Name)
		}
	}
	return names
}

// observersOf returns the daemons that share the engines of a data centre.
func (daemon *Daemon) observersOf(dataCentre string) []string {
	if live := daemon.liveIn(dataCentre); len(live) > 0 {
		return live
	}
	return daemon.node.Live()
}

// tellPeers keeps the own record up to date.
func (daemon *Daemon) tellPeers(ctx context.Context) error {
	for {
		upstreams, notes := daemon.fleet.Changed(), daemon.follower.Changed()
		daemon.node.Update(daemon.record())
		select {
		case <-upstreams:
		case <-notes:
		case <-daemon.clock.After(tellEvery):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// record returns the change of the own record. What it tells is gathered before, without the lock of the node.
func (daemon *Daemon) record() func(last peer.Record) peer.Record {
	_, number, _ := daemon.catalogue()
	running := int(daemon.arrivals.running())
	observations := daemon.observations()
	suspects := daemon.suspects.export()
	backlogs := toBacklogs(daemon.dispatcher.Loads())
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

func (daemon *Daemon) observations() []peer.Observation {
	var seen []peer.Observation
	for _, known := range daemon.fleet.Known() {
		if known.Direct && known.State.BootID != "" {
			seen = append(seen, peer.Observation{Seen: known.AsOf, State: known.State})
		}
	}
	return seen
}

// hearPeers takes states of upstreams and numbers in force from the records of other daemons.
func (daemon *Daemon) hearPeers(ctx context.Context) error {
	for {
		changed := daemon.node.Changed()
		records := daemon.node.Records()
		for _, known := range records {
			daemon.hear(known.Record)
		}
		daemon.backlogs.set(daemon.near(records))
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		daemon.clock.Sleep(hearPause)
	}
}

// near returns the records of the other live daemons of the own data centre.
func (daemon *Daemon) near(records []peer.Peer) []peer.Record {
	live := daemon.node.Live()
	var near []peer.Record
	for _, known := range records {
		if slices.Contains(live, known.Record.Name) {
			near = append(near, known.Record)
		}
	}
	return near
}

func (daemon *Daemon) hear(record peer.Record) {
	daemon.suspects.Import(record.Suspects)
	for _, seen := range record.Observations {
		daemon.fleet.Put(seen.State, seen.Seen, false)
	}
	daemon.follower.Offer(record.InForce, peerNotes{daemon.node, record.PeerAddress})
}
