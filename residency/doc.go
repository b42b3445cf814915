// Package residency plans which models and adapters engines keep loaded.
//
// A Planner is given the state of the engines, as known to the holder of the
// lease, and the demand of all daemons. It returns orders: loads of models that
// requests wait for, further replicas of popular models, first copies of weights
// that no engine has yet, and unloads that free memory. It does no I/O.
package residency
