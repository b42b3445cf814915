package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/quota"
)

// quotaRefusalPause is the time without a refusal after which an account counts as within its quota again.
const quotaRefusalPause = 10 * time.Second

// quotaLog logs when accounts use up their quotas and when no grantor answers. Only housekeeping uses it.
type quotaLog struct {
	// accounts maps the names of accounts with recent requests to what was logged of them.
	accounts map[string]*quotaLogEntry
}

// quotaLogEntry is what was logged of one account.
type quotaLogEntry struct {
	// refused is the number of refused requests at the last look, refusedAt when it rose last, and refusedFrom what it was when
	// QuotaUsedUp was logged.
	refused, refusedFrom int64
	refusedAt            time.Time
	usedUp               bool
	// aloneSince is the time since which no grantor answers; zero if one does.
	aloneSince time.Time
}

// observe logs what changed, and forgets accounts that are not among the states. daemons is the number of daemons that share a quota.
func (log *quotaLog) observe(states []quota.State, daemons int64, now time.Time) {
	accounts := make(map[string]*quotaLogEntry, len(states))
	for _, state := range states {
		entry, known := log.accounts[state.Account]
		if !known {
			entry = &quotaLogEntry{}
		}
		accounts[state.Account] = entry
		entry.observeRefusals(state, now)
		entry.observeGrantor(state, daemons, now)
	}
	log.accounts = accounts
}

// observeRefusals logs when requests begin to be refused, and when they no longer are.
func (entry *quotaLogEntry) observeRefusals(state quota.State, now time.Time) {
	if state.Refused > entry.refused {
		if !entry.usedUp {
			entry.usedUp, entry.refusedFrom = true, entry.refused
			event.QuotaUsedUp.Log("Account", state.Account, "Held", state.Held, "Alone", state.Alone)
		}
		entry.refused, entry.refusedAt = state.Refused, now
		return
	}
	if entry.usedUp && now.Sub(entry.refusedAt) >= quotaRefusalPause {
		entry.usedUp = false
		event.QuotaAvailable.Log("Account", state.Account, "Refused", state.Refused-entry.refusedFrom)
	}
}

// observeGrantor logs when no grantor answers, and when one does again.
func (entry *quotaLogEntry) observeGrantor(state quota.State, daemons int64, now time.Time) {
	switch {
	case state.Alone && entry.aloneSince.IsZero():
		entry.aloneSince = now
		event.QuotaAlone.Log("Account", state.Account, "Daemons", daemons)
	case !state.Alone && !entry.aloneSince.IsZero():
		event.QuotaDivided.Log("Account", state.Account, "For", now.Sub(entry.aloneSince))
		entry.aloneSince = time.Time{}
	}
}

// updateQuotaMetrics sets the metrics of the accounts that this daemon had requests of lately, and logs what changed.
func (daemon *Daemon) updateQuotaMetrics(now time.Time) {
	states := daemon.quotas.States(now)
	for _, state := range states {
		labels := meter.Labels{Tenant: state.Account}
		daemon.meter.Set(meter.QuotaUsed, labels, int64(state.Used))
		daemon.meter.Set(meter.QuotaHeld, labels, int64(state.Held))
		daemon.meter.Set(meter.QuotaRefused, labels, state.Refused)
		daemon.meter.Set(meter.QuotaWaiting, labels, int64(state.Waiting))
	}
	daemon.quotaLog.observe(states, daemon.quotaDaemons.Load(), now)
}
