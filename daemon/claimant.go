package daemon

import (
	"strconv"
	"strings"
)

// claimant names one run of a daemon in claims.
type claimant struct {
	name string
	// incarnation is larger in a later process of the name.
	incarnation uint64
}

// claimantSeparator stands between name and incarnation. The name may contain it, too.
const claimantSeparator = "/"

// String returns the claimant as it is stored.
func (claimant claimant) String() string {
	return claimant.name + claimantSeparator + strconv.FormatUint(claimant.incarnation, 10)
}

// parseClaimant reads what String returned, or reports false.
func parseClaimant(text string) (claimant, bool) {
	at := strings.LastIndex(text, claimantSeparator)
	if at < 0 {
		return claimant{}, false
	}
	incarnation, err := strconv.ParseUint(text[at+1:], 10, 64)
	return claimant{name: text[:at], incarnation: incarnation}, err == nil
}

// hasEnded reports whether a run is known to be over: a later process of its name was heard of.
func (daemon *Daemon) hasEnded(text string) bool {
	run, ok := parseClaimant(text)
	if !ok {
		return false
	}
	if run.name == daemon.settings.Name {
		return run.incarnation < uint64(daemon.started.UnixNano())
	}
	known, ok := daemon.node.Record(run.name)
	return ok && known.Record.Incarnation > run.incarnation
}

// sweepsClaims reports whether this daemon deletes old claims: the one that decides for the first data centre.
func (daemon *Daemon) sweepsClaims() bool {
	first := daemon.settings.DataCentres[0].Name
	_, owned := daemon.candidates.byDataCentre[first].decides()
	return owned
}
