// Package request holds an admitted request of a caller, as the packages of the daemon pass it on.
package request
