// Package arrivals generates synthetic workloads of rarely used models.
//
// A workload is a list of models and the arrivals of their requests over some
// days. It is generated from a seed: the same seed gives the same workload.
// Yamabuki and Calabaza generate workloads of the sizes of the two deployments,
// without the few popular models, which are always loaded.
//
// Each model has arrival sources: bursts after an opening time, user sessions
// distributed over hours of the day, and periodic jobs. An adapter is one more
// source of its model. Rates follow a Zipf distribution, so that most models are
// idle most of the time. All sources of a day share a factor (weather, season),
// and single sources are closed on some days.
package arrivals
