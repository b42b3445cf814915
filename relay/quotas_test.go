package relay

import (
	"context"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// quotas refuses what costs more than its limit.
type quotas struct {
	limit    float64
	charged  []float64
	refunded int
}

func (quotas *quotas) Charge(_ context.Context, _ *topology.Account, cost float64) (func(), time.Duration) {
	quotas.charged = append(quotas.charged, cost)
	if cost > quotas.limit {
		return nil, time.Second
	}
	return func() { quotas.refunded++ }, 0
}

// TestAdmitChargesAccountsWithAQuota checks which requests are charged, and that a refusal states when the request may return.
func TestAdmitChargesAccountsWithAQuota(t *testing.T) {
	limited := topology.Quota{PerSecond: 100, Burst: 100, Tokens: true, PlainTokens: 7}
	for name, test := range map[string]struct {
		quota   topology.Quota
		tokens  int
		charged []float64
		refused bool
	}{
		"without a quota":          {topology.Quota{}, 50, nil, false},
		"stated size":              {limited, 50, []float64{50}, false},
		"no stated size":           {limited, 0, []float64{7}, false},
		"more than there is":       {limited, 500, []float64{500}, true},
		"one for each in requests": {topology.Quota{PerSecond: 1}, 500, []float64{1}, false},
	} {
		fixture := newFixture()
		charges := &quotas{limit: 100}
		fixture.relay.deps.Quotas = charges
		account := topology.Account{Name: "x", Quota: test.quota, Keys: []topology.KeyDigest{topology.DigestKey("k")}}
		configuration := *fixture.relay.Configuration()
		configuration.Version++
		configuration.Accounts = []topology.Account{account}
		fixture.relay.Configure(configuration.Index())
		request := fixture.request("/again/x")
		request.Metadata.Key = "k"
		request.Metadata.PromptTokens, request.Metadata.TokensStated = test.tokens, test.tokens > 0
		admission, failure := fixture.relay.Admit(t.Context(), request)
		if len(charges.charged) != len(test.charged) || (len(test.charged) > 0 && charges.charged[0] != test.charged[0]) {
			t.Errorf("%s: charged %v", name, charges.charged)
		}
		if test.refused != (failure != nil) || (failure != nil && (failure.Kind != outcome.TenantLimit || failure.RetryAfter != time.Second)) {
			t.Errorf("%s: refused with %v", name, failure)
		}
		if (admission.Refund != nil) != (len(test.charged) > 0 && !test.refused) {
			t.Errorf("%s: the refund is %t", name, admission.Refund != nil)
		}
	}
}
