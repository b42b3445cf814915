// Package placement decides which models are loaded on which upstreams.
//
// Pass takes the state of one data centre and returns what to order now. It is
// pure: the time, the charges and the free permits are part of its input, and
// nothing of one pass is needed by the next. Its cost and its memory follow the
// models that are loaded, asked for or wished to be warm, not the catalogue.
//
// Cold models that requests wait for go first, by deadline, then further
// replicas of busy models, then models to be kept warm. An upstream with the
// checkpoint in memory goes before one with it on disk, and that before the
// weight store, as far as learnt load times say. Where memory is short, idle
// replicas are unloaded, and the load is decided in a later pass, after the
// engine has confirmed that the memory is free.
package placement
