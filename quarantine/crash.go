package quarantine

// Crash is one crash of one upstream.
type Crash struct {
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// BootID is the boot that ended.
	BootID string `json:"BootId"`
	// Sequence tells crashes apart that one daemon took for the same boot; zero where that cannot happen.
	Sequence int `json:"Sequence,omitempty"`
}
