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

// members follows the VM list. While the list is away the last one stays in force.
type members struct {
	settings settings.Settings
	list     datastore.VMs
	fleet    *fleet.Fleet
	clock    clock.Clock
	// lock guards the fields below.
	lock sync.Mutex
	// vms is the last list that was read, or nil.
	vms  []datastore.VM
	away bool
}

func (members *members) run(ctx context.Context) error {
	members.apply(nil)
	return every(ctx, members.clock, members.settings.Platform.ListEvery, members.refresh)
}

func (members *members) refresh(ctx context.Context) {
	vms, err := members.list.List(ctx)
	if ctx.Err() != nil {
		return
	}
	if members.notice(err) {
		return
	}
	members.apply(vms)
}

// notice logs the change between a readable and an unreadable list and reports whether the read failed.
func (members *members) notice(err error) bool {
	members.lock.Lock()
	defer members.lock.Unlock()
	if err != nil && !members.away {
		event.VMListAway.LogError(err)
	}
	if err == nil && members.away {
		event.VMListBack.Log()
	}
	members.away = err != nil
	return members.away
}

// isAway reports whether the list could not be read the last time.
func (members *members) isAway() bool {
	members.lock.Lock()
	defer members.lock.Unlock()
	return members.away
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

// upstreams joins the settings and the VM list. The settings say which engines check fencing numbers;
// the list says which VMs exist beside those of the settings and which leave.
func (members *members) upstreams(vms []datastore.VM) []fleet.Member {
	byName := map[string]fleet.Member{}
	for _, known := range members.settings.Upstreams {
		byName[known.Name] = fleet.Member{
			Name:          known.Name,
			Address:       known.Address,
			DataCentre:    known.DataCentre,
			Kind:          known.Kind,
			ChecksFencing: known.ChecksFencing,
			ChecksBoot:    known.ChecksBoot,
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
