// Package learner runs the predictive keep-warm policy of a data centre and stores its keepwarm.Statistics in the
// platform's table service.
//
// The statistics of a data centre are stored in parts, one row each. A change is merged into its row by a transaction
// that is conditional on the version of the row. It carries the name of its saver and a sequence number, so that a
// change whose response was lost is merged only once. The changes of other savers are never overwritten.
package learner
