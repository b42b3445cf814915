package claim

// Response is the complete response to a call, as sent to the caller.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"Status"`
	// ContentType is the content type of Body.
	ContentType string `json:"ContentType"`
	// Body is the body in the framing that the caller received.
	Body []byte `json:"Body,omitempty"`
	// Kept is false if the body was too large to record; Body is then empty.
	Kept bool `json:"Kept"`
}
