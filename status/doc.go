// Package status holds what a daemon answers to an operator's question at a glance.
//
// A report says how old each part is: parts that come from other daemons,
// engines or the platform carry the time since they were heard.
package status
