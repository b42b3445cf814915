// Package placement decides which models are loaded on which upstreams.
//
// Pass takes the state of one data centre and returns the orders to send now. It is
// deterministic: the time, the charges and the free permits are part of its input, and no state
// is carried from one pass to the next except learned load times. Its time and memory grow with
// the models that are loaded, requested or to be kept warm, not with the catalogue.
//
// Cold models that requests wait for have the highest priority, by deadline, then further
// replicas of busy models, then models to be kept warm. An upstream with the checkpoint in
// memory is preferred to one with it on disk, and that to a load from the weight store, as far
// as the learned load times say so. Where memory is short, idle replicas are unloaded, and the
// load is decided in a later pass, after the engine has confirmed that the memory is free.
package placement
