package datastore

import "context"

// Role tells what runs on a VM.
type Role string

// The roles of VMs.
const (
	// Entry is a VM with a daemon.
	Entry Role = "Entry"
	// Engine is a VM with a model engine.
	Engine Role = "Engine"
	// Service is a VM with a plain service.
	Service Role = "Service"
)

// VM is one machine of the list.
type VM struct {
	// Name is unique among VMs that live at the same time.
	Name string `json:"Name"`
	// Incarnation differs between two VMs that had the same name one after the other.
	Incarnation string `json:"Incarnation"`
	// DataCentre is the name of the data centre.
	DataCentre string `json:"DataCentre"`
	// Role tells what runs on the VM.
	Role Role `json:"Role"`
	// Address is the IP address and port of the process.
	Address string `json:"Address"`
	// Leaving states that the VM will be reclaimed.
	Leaving bool `json:"Leaving"`
}

// VMs is the lagging list of live and leaving VMs.
type VMs interface {
	// List returns the VMs that the platform believes to live.
	List(ctx context.Context) ([]VM, error)
}
