// Package agenda keeps the next time at which something is to be done for each
// of many keys, and finds those whose time has come without a look at the others.
package agenda
