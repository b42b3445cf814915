package daemon

import (
	"strconv"
	"strings"
)

// claimant identifies one process of a daemon in claims.
type claimant struct {
	name string
	// incarnation is larger in a later process of the same name.
	incarnation uint64
}

// claimantSeparator separates name and incarnation. The name may contain it, since the last one counts.
const claimantSeparator = "/"

// String returns the claimant in the form that is stored in claims.
func (claimant claimant) String() string {
	return claimant.name + claimantSeparator + strconv.FormatUint(claimant.incarnation, 10)
}

// parseClaimant parses the result of String. It returns false for any other text.
func parseClaimant(text string) (claimant, bool) {
	at := strings.LastIndex(text, claimantSeparator)
	if at < 0 {
		return claimant{}, false
	}
	incarnation, err := strconv.ParseUint(text[at+1:], 10, 64)
	return claimant{name: text[:at], incarnation: incarnation}, err == nil
}

// hasEnded reports whether the claimant in text is known to have ended, which is the case once a later
// process of its name is known. It returns false if the text is malformed or the daemon is unknown.
func (daemon *Daemon) hasEnded(text string) bool {
	other, ok := parseClaimant(text)
	if !ok {
		return false
	}
	if other.name == daemon.settings.Name {
		return other.incarnation < uint64(daemon.started.UnixNano())
	}
	latest, ok := daemon.node.Record(other.name)
	return ok && latest.Record.Incarnation > other.incarnation
}

// sweepsClaims reports whether this daemon deletes old claims. Only the decider of the first data centre does.
func (daemon *Daemon) sweepsClaims() bool {
	first := daemon.settings.DataCentres[0].Name
	_, owned := daemon.candidates.byDataCentre[first].activeDecider()
	return owned
}
