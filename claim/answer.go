package claim

// Response is the whole answer to a call, as it went to the caller.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"Status"`
	// ContentType is the content type of Body.
	ContentType string `json:"ContentType"`
	// Body is the body with the framing of the caller's side.
	Body []byte `json:"Body,omitempty"`
	// Kept is false if the body was too large to record; Body is then empty.
	Kept bool `json:"Kept"`
}
