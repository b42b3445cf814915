package datastore

import "context"

// Role is the kind of process that runs on a VM.
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

// VM is one entry of the VM list.
type VM struct {
	// Name is unique among VMs that run at the same time.
	Name string `json:"Name"`
	// Incarnation differs between successive VMs that have the same name.
	Incarnation string `json:"Incarnation"`
	// DataCentre is the name of the data centre.
	DataCentre string `json:"DataCentre"`
	// Role is the kind of process that runs on the VM.
	Role Role `json:"Role"`
	// Address is the IP address and port of the process.
	Address string `json:"Address"`
	// Leaving states that the VM will be reclaimed.
	Leaving bool `json:"Leaving"`
}

// VMs is the list of running and leaving VMs. The list may be out of date.
type VMs interface {
	// List returns the VMs that the platform lists as running, including those that are leaving.
	List(ctx context.Context) ([]VM, error)
}
