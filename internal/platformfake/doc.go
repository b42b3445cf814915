// Package platformfake provides an in-memory platform with fault injection for tests.
//
// A Platform holds linearizable tables with versioned rows, an object store and
// a VM list that is returned with a lag. Each simulated process of a test uses
// its own Client, which implements datastore.Tables, datastore.Objects and
// datastore.VMs. Faults apply to the whole platform (SetDown, SetRates,
// SetDelay) or to one client (SetPartitioned, FailWrites, FailReads). All delays
// use the clock that is passed to New.
package platformfake
