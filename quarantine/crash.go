package quarantine

// Crash is one crash of one upstream.
type Crash struct {
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// BootID is the boot that ended.
	BootID string `json:"BootId"`
}
