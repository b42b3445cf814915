// Package standin holds small stand-ins for the outside systems, for tests and trials.
//
// Each subpackage is one outside system as an http.Handler. All take a clock,
// count what they did at GET /counts and take faults at POST /faults while
// they run. The program in cmd/standin serves them; it is not shipped.
package standin
