package intent

// Sender identifies the process that may send the order of an intent.
type Sender struct {
	// VM is the name of the VM that the process runs on.
	VM string `json:"VM"`
	// VMIncarnation is the incarnation of the VM in the VM list; empty if unknown.
	VMIncarnation string `json:"VMIncarnation,omitempty"`
	// DataCentre is the data centre that the process decides for, or empty for that of its VM. The candidacies of
	// one VM are recorded separately, since they begin and end independently.
	DataCentre string `json:"DataCentre,omitempty"`
	// Process is unique for each start of a process, and of a candidacy for another data centre.
	Process string `json:"Process"`
	// Reign is the fencing number under which the process decided. A process that lost its lease
	// and acquired it again is another sender.
	Reign uint64 `json:"Reign,omitempty"`
}
