package responsehead

import "net/http"

// IsFramed reports whether the body of the response has a length or comes in chunks. Any other body ends with its connection, so that
// its end cannot be told from a lost connection by the body alone.
func IsFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
