package lease

// Holder identifies one process that may hold leases.
type Holder struct {
	// Name is the name of the entry VM.
	Name string `json:"Name"`
	// Incarnation differs for every start of a process.
	Incarnation string `json:"Incarnation"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"DataCentre"`
}
