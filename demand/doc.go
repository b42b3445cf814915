// Package demand counts what requests want of models: arrivals, those that wait and those in flight.
package demand
