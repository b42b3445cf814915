package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/settings"
)

// members follows the VM list and passes the upstreams on to the fleet. If the list cannot be read, the
// last one remains in use.
type members struct {
	settings settings.Settings
	list     datastore.VMs
	fleet    *fleet.Fleet
	clock    clock.Clock
	// lock guards the fields below.
	lock sync.Mutex
	// vms is the last list that was read, or nil.
	vms []datastore.VM
	// unavailable is true if the last read failed.
	unavailable bool
}

// run reads the list at each interval until ctx ends. It begins with the upstreams of the settings.
func (members *members) run(ctx context.Context) error {
	members.apply(nil)
	return every(ctx, members.clock, members.settings.Platform.ListEvery, members.refresh)
}

func (members *members) refresh(ctx context.Context) {
	vms, err := members.list.List(ctx)
	if ctx.Err() != nil {
		return
	}
	if members.recordRead(err) {
		return
	}
	members.apply(vms)
}

// recordRead logs when the list becomes unreadable or readable and reports whether the read failed.
func (members *members) recordRead(err error) bool {
	members.lock.Lock()
	defer members.lock.Unlock()
	if err != nil && !members.unavailable {
		event.VMListAway.LogError(err)
	}
	if err == nil && members.unavailable {
		event.VMListBack.Log()
	}
	members.unavailable = err != nil
	return members.unavailable
}

// isUnavailable reports whether the last read of the list failed.
func (members *members) isUnavailable() bool {
	members.lock.Lock()
	defer members.lock.Unlock()
	return members.unavailable
}

func (members *members) apply(vms []datastore.VM) {
	members.lock.Lock()
	members.vms = vms
	members.lock.Unlock()
	members.fleet.SetMembers(members.upstreams(vms))
}

// all returns the last list that was read.
func (members *members) all() []datastore.VM {
	members.lock.Lock()
	defer members.lock.Unlock()
	return members.vms
}

// upstreams merges the upstreams of the settings and of the VM list, ordered by name. The settings define
// which engines check fencing numbers and boots; the list adds VMs and defines their addresses and which
// are leaving.
func (members *members) upstreams(vms []datastore.VM) []fleet.Member {
	byName := map[string]fleet.Member{}
	for _, configured := range members.settings.Upstreams {
		byName[configured.Name] = fleet.Member{
			Name:          configured.Name,
			Address:       configured.Address,
			DataCentre:    configured.DataCentre,
			Kind:          configured.Kind,
			ChecksFencing: configured.ChecksFencing,
			ChecksBoot:    configured.ChecksBoot,
		}
	}
	for _, vm := range vms {
		if vm.Role == datastore.Entry {
			continue
		}
		byName[vm.Name] = withVM(byName[vm.Name], vm)
	}
	return sortedMembers(byName)
}

func withVM(member fleet.Member, vm datastore.VM) fleet.Member {
	member.Name = vm.Name
	member.Incarnation = vm.Incarnation
	member.Address = vm.Address
	member.DataCentre = vm.DataCentre
	member.Leaving = vm.Leaving
	member.Kind = settings.EngineKind
	if vm.Role == datastore.Service {
		member.Kind = settings.ServiceKind
	}
	return member
}

func sortedMembers(byName map[string]fleet.Member) []fleet.Member {
	all := make([]fleet.Member, 0, len(byName))
	for _, member := range byName {
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b fleet.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}
