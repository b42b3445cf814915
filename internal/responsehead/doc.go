// Package responsehead checks the heads of HTTP/1.1 responses before net/http parses them.
//
// net/http accepts more than the protocol permits, such as the status code 000, or names of fields with blanks, under which the length
// of the body is not found. What follows such a head is not known to be the body of a response, so that whoever passes responses on
// must not take it for one.
package responsehead
