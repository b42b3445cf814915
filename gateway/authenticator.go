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
	// defaultTenant is the tenant of all requests if the settings list no tenants.
	defaultTenant = "default"
	bearerPrefix  = "Bearer "
)

// authenticator determines the tenant of a request from the hash of its bearer key.
type authenticator struct {
	// tenants maps the lower-case hexadecimal SHA-256 hash of a key to the name of its tenant.
	tenants map[string]string
}

func newAuthenticator(tenants []settings.Tenant) *authenticator {
	byHash := make(map[string]string, len(tenants))
	for _, tenant := range tenants {
		byHash[strings.ToLower(tenant.KeySHA256)] = tenant.Name
	}
	return &authenticator{tenants: byHash}
}

// tenant returns the name of the tenant of the request. It fails with Unauthenticated.
func (authenticator *authenticator) tenant(req *http.Request) (string, error) {
	if len(authenticator.tenants) == 0 {
		return defaultTenant, nil
	}
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "the header Authorization must be a bearer key")
	}
	hash := sha256.Sum256([]byte(key))
	tenant, ok := authenticator.tenants[hex.EncodeToString(hash[:])]
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "the key is not known")
	}
	return tenant, nil
}
