package service

// Response is the whole answer to one call.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of Body.
	ContentType string
	// Body is the content.
	Body []byte
}
