// Package pacesim compares the choice of replicas by their pace (packages pace and balance) with the one without, in virtual time.
//
// Many daemons, which learn each other's requests and paces at intervals, send streams to replicas that decode all their streams in
// steps and read the prompts of new ones between two steps, during which the other streams pause.
package pacesim
