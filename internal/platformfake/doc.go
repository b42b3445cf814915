// Package platformfake is an in-memory platform with fault injection for tests.
//
// A Platform holds linearizable tables with versions, objects and a VM list
// that lags. Each process of a test uses its own Client, which implements
// platform.Tables, platform.Objects and platform.VMs. Faults apply to the whole
// platform (SetDown, SetRates, SetDelay) or to one client (Cut, FailWrites,
// FailReads). All waiting goes through the clock that is passed in.
package platformfake
