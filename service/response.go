package service

// Response is the complete response to one call.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of Body.
	ContentType string
	// Body is the response body.
	Body []byte
}
