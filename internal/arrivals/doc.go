// Package arrivals makes synthetic workloads of rarely used models.
//
// A workload is a list of models and the arrivals of their requests over some
// days, made from a seed: the same seed gives the same workload. Yamabuki and
// Calabaza make workloads at the sizes of the two deployments, without the
// few busy models, which are always loaded.
//
// Each model has sources: bursts after an opening time, sessions of users
// spread over hours of the day, and periodic jobs. An adapter is one more
// source of its model. Rates follow a Zipf law, so that most models are idle
// most of the time. All sources of a day share a factor (weather, season), and
// single sources stay closed on some days.
package arrivals
