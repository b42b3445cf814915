// Package keepwarm learns when models are requested, and decides which models to keep loaded while they are idle.
//
// A Policy is given the arrivals of requests and returns how many replicas of a model are worth keeping loaded now.
// Predictive is the policy in production use. It keeps a history for each model, and forecasts the hazard rate of the
// next arrival from the time of the week and from how long the model has been idle. A replica is kept as long as the
// expected cost of the cold starts that it avoids exceeds the cost of the idle accelerators. The same sum decides
// when to load a model ahead of time. Never, Fixed and Always are baselines.
//
// The package does no I/O and takes the time as an argument. A DecisionQueue keeps the times at which decisions may
// next change in a heap, so that idle models cost nothing in between. Statistics contains the histories, and encodes
// what was learned in parts that are merged with what the platform stores.
package keepwarm
