package intent

// Sender identifies the process that may send the order of an intent.
type Sender struct {
	// VM is the name of its VM.
	VM string `json:"VM"`
	// VMIncarnation is the incarnation of the VM in the VM list; empty if unknown.
	VMIncarnation string `json:"VMIncarnation,omitempty"`
	// DataCentre is the data centre that it decides for, or empty for the one of its VM. The candidacies of one VM
	// are recorded apart, since they begin and end by themselves.
	DataCentre string `json:"DataCentre,omitempty"`
	// Process differs for every start of a process, and of a candidacy for another data centre.
	Process string `json:"Process"`
	// Reign is the fencing number under which the process decided. A process that lost its lease
	// and got it again counts as another sender.
	Reign uint64 `json:"Reign,omitempty"`
}
