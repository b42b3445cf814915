package front

import (
	"bytes"
	"math"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// confirmationWait is the longest time that the store delays its response about the configuration while keys must be checked
	// against one that was confirmed lately. The readers of a data centre ask for all of its daemons.
	confirmationWait = time.Second
	// maxConfirmationAge is the age of the configuration from which another daemon is asked to confirm it. It is above the age that the
	// calls of readers and the polls of the others leave.
	maxConfirmationAge = 2200 * time.Millisecond
)

// confirmConfiguration records that the configuration of this daemon was in force at the time, which is before the call that showed it.
// The configuration must have been applied before.
func (daemon *Daemon) confirmConfiguration(at time.Time) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if at.After(daemon.configurationConfirmed) {
		daemon.configurationConfirmed = at
	}
}

// isInForce reports whether the stored row is that of the configuration in force.
func (daemon *Daemon) isInForce(row []byte) bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return bytes.Equal(row, daemon.configurationRow)
}

// confirmedAge returns the time since the configuration was known to be in force, and false if it never was.
func (daemon *Daemon) confirmedAge() (time.Duration, bool) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.configurationConfirmed.IsZero() {
		return 0, false
	}
	return max(daemon.clock.Since(daemon.configurationConfirmed), 0), true
}

// configurationAge returns confirmedAge, or the longest time if the configuration was never known to be in force.
func (daemon *Daemon) configurationAge() time.Duration {
	age, confirmed := daemon.confirmedAge()
	if !confirmed {
		return math.MaxInt64
	}
	return age
}

// boundsKeys reports whether keys that were removed must not be accepted for longer than a bound.
func (daemon *Daemon) boundsKeys() bool {
	if daemon.settings.KeyRevocation <= 0 {
		return false
	}
	configuration := daemon.relay.Configuration()
	return configuration != nil && configuration.HasAccounts()
}

// needsConfirmation reports whether another daemon must be asked to confirm the configuration.
func (daemon *Daemon) needsConfirmation() bool {
	return daemon.boundsKeys() && daemon.configurationAge() > maxConfirmationAge
}

// configurationPollWait returns the longest time that the store delays its response if the configuration does not change.
func (daemon *Daemon) configurationPollWait() time.Duration {
	if daemon.boundsKeys() {
		return confirmationWait
	}
	return configurationWait
}

// logAccounts logs the accounts of a configuration in force, if there are any.
func logAccounts(configuration *topology.Configuration) {
	if !configuration.HasAccounts() {
		return
	}
	keys, unlimited := 0, 0
	for index := range configuration.Accounts {
		account := &configuration.Accounts[index]
		keys += len(account.Keys)
		if !account.Quota.Limited() {
			unlimited++
		}
	}
	event.AccountsTaken.Log("Version", configuration.Version, "Accounts", len(configuration.Accounts), "Keys", keys,
		"SharedKeys", keys-configuration.KeyCount(), "Unlimited", unlimited)
}
