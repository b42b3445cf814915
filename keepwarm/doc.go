// Package keepwarm learns when models are asked for and decides which to keep
// loaded while nobody asks.
//
// A Policy takes observations and answers how many replicas of a model are
// worth holding now. Learnt is the policy of the product: for each model it
// holds a History and forecasts the hazard of the next arrival from the time
// of the week and from how long the model has been idle. A replica is held as
// long as the expected cost of the cold starts that it saves exceeds the cost
// of the idle accelerators; the same sum tells when to load ahead of time.
// Never, Fixed and Always are baselines.
//
// The package does no I/O and takes the time as an argument. A Plan keeps a
// heap of the next times at which a decision may change, so that idle models
// cost nothing between them. A Book keeps the histories, and encodes what was
// learnt in parts that are merged with what the platform has.
package keepwarm
