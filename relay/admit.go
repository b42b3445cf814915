package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// keyMargin is the part of KeyRevocation that is kept for the time from the check of a key until the request counts as accepted.
	keyMargin = 250 * time.Millisecond
	// maxUnknownKeyAge is the age of the configuration up to which an unknown key is refused for good. A later configuration may have
	// added it; operators expect that to take hold within a few seconds.
	maxUnknownKeyAge = 2500 * time.Millisecond
	// retryAfterUnconfirmed is the Retry-After value of a request whose key cannot be checked now. Another daemon may be able to.
	retryAfterUnconfirmed = 500 * time.Millisecond
)

// Admission is what the head of a request decides.
type Admission struct {
	// KeyChecked is set if requests need keys, so that the key must not be passed on.
	KeyChecked bool
	// Account is the client account of the request, or nil.
	Account *topology.Account
	// Refund gives back what the account was charged; nil if it was not charged. It must be called if the request ends without having
	// run.
	Refund func()
}

// Admit decides by the head of a request whether it may be served, before its body is read, and otherwise returns why not. It charges
// the account of the request, and may wait for some tens of milliseconds for that.
func (relay *Relay) Admit(ctx context.Context, request *exchange.Request) (Admission, *outcome.Error) {
	// The age is read first: a configuration that is newer than the age only makes it safer.
	age := relay.configurationAge()
	configuration, route, failure := relay.match(request)
	if failure != nil || !configuration.HasAccounts() {
		return Admission{}, failure
	}
	if route.Public {
		return Admission{KeyChecked: true}, nil
	}
	account, failure := relay.authenticate(configuration, request, age)
	if failure != nil {
		return Admission{KeyChecked: true}, failure
	}
	refund, failure := relay.charge(ctx, account, request)
	return Admission{KeyChecked: true, Account: account, Refund: refund}, failure
}

// authenticate returns the account that the key of the request identifies, or why it does not. A key that may have been removed
// identifies nobody: the age of the configuration counts from before the call that confirmed it.
func (relay *Relay) authenticate(configuration *topology.Configuration, request *exchange.Request, age time.Duration) (*topology.Account, *outcome.Error) {
	if !relay.keysUsableAt(age) {
		event.KeyUnconfirmed.Log("Request", request.Metadata.ID, "Configuration", configuration.Version, "Age", age)
		return nil, outcome.New(outcome.NotReady, "keys cannot be checked: the configuration was confirmed %v ago", age.Round(time.Millisecond)).WithRetryAfter(retryAfterUnconfirmed)
	}
	account := configuration.AccountOf(string(request.Metadata.Key))
	switch {
	case account != nil:
		return account, nil
	case request.Metadata.Key != "" && relay.settings.KeyRevocation > 0 && age > maxUnknownKeyAge:
		return nil, outcome.New(outcome.NotReady, "the key is not known yet").WithRetryAfter(retryAfterUnconfirmed)
	default:
		return nil, outcome.New(outcome.Unauthenticated, "the request has no valid key")
	}
}

// checkAdmitted returns the refusal of a request that was admitted without the check that the configuration now in force asks for, or nil.
func checkAdmitted(configuration *topology.Configuration, route *topology.Route, request *exchange.Request) *outcome.Error {
	if !configuration.HasAccounts() || (request.KeyChecked && (route.Public || request.Account != nil)) {
		return nil
	}
	return outcome.New(outcome.NotReady, "the account of the request is not known").WithRetryAfter(retryAfterUnconfirmed)
}

// KeysUsable reports whether the configuration was confirmed so lately that no key in it was removed longer than KeyRevocation ago.
func (relay *Relay) KeysUsable() bool {
	configuration := relay.Configuration()
	return configuration == nil || !configuration.HasAccounts() || relay.keysUsableAt(relay.configurationAge())
}

// keysUsableAt is KeysUsable for a configuration with accounts that was confirmed so long ago.
func (relay *Relay) keysUsableAt(age time.Duration) bool {
	limit := relay.settings.KeyRevocation
	return limit <= 0 || age <= limit-keyMargin
}

// configurationAge returns the time since which the configuration is not known to be in force.
func (relay *Relay) configurationAge() time.Duration {
	if relay.deps.ConfigurationAge == nil {
		return 0
	}
	return relay.deps.ConfigurationAge()
}
