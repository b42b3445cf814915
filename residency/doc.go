// Package residency plans which models and adapters engines hold.
//
// A Planner is given the engines as the holder of the lease knows them and the
// demand of all daemons, and returns orders: loads of models that requests
// wait for, further replicas of busy models, copies of weights that no engine
// has yet, and unloads that make room. It does no I/O.
package residency
