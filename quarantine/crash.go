package quarantine

// Crash identifies one crash of one upstream.
type Crash struct {
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// BootID identifies the boot that the crash ended.
	BootID string `json:"BootId"`
	// Sequence distinguishes crashes that one daemon attributed to the same boot; zero where that cannot happen.
	Sequence int `json:"Sequence,omitempty"`
}
