package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	// openTenant is the tenant of every caller if the settings name no tenants.
	openTenant   = "default"
	bearerPrefix = "Bearer "
)

// callers finds the tenant of a caller by the hash of its key.
type callers struct {
	tenants map[string]string
}

func newCallers(tenants []settings.Tenant) *callers {
	byHash := make(map[string]string, len(tenants))
	for _, tenant := range tenants {
		byHash[strings.ToLower(tenant.KeySHA256)] = tenant.Name
	}
	return &callers{tenants: byHash}
}

// tenant returns the tenant of the request, or Unauthenticated.
func (callers *callers) tenant(req *http.Request) (string, error) {
	if len(callers.tenants) == 0 {
		return openTenant, nil
	}
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "the header Authorization must be a bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	tenant, ok := callers.tenants[hex.EncodeToString(sum[:])]
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "the key is not known")
	}
	return tenant, nil
}
