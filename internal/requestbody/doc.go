// Package requestbody reads the bodies of HTTP requests whole, within bounds of length and time.
package requestbody
