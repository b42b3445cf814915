package settings

import (
	"encoding/hex"
	"fmt"
)

// keyHashBytes is the length of a SHA-256 hash in bytes.
const keyHashBytes = 32

func (checker *checker) tenants(tenants []Tenant) {
	if len(tenants) == 0 {
		checker.addProblem("Tenants", "is missing; list at least one tenant")
	}
	for i, tenant := range tenants {
		key := fmt.Sprintf("Tenants[%d]", i)
		checker.name(key+".Name", tenant.Name)
		checker.keyHash(key+".KeySHA256", tenant.KeySHA256)
		checkRange(checker, key+".Share", tenant.Share, 1, maxShare)
	}
	checker.unique("Tenants", "Name", fieldValues(tenants, func(tenant Tenant) string { return tenant.Name }))
	checker.unique("Tenants", "KeySHA256", fieldValues(tenants, func(tenant Tenant) string { return tenant.KeySHA256 }))
}

// keyHash reports a text that is not the hexadecimal form of a SHA-256 hash.
func (checker *checker) keyHash(key, hash string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != keyHashBytes {
		checker.addProblem(key, "is not a SHA-256 hash; allowed are %d hexadecimal digits", 2*keyHashBytes)
	}
}

func (checker *checker) classes(classes []Class) {
	for i, class := range classes {
		key := fmt.Sprintf("Classes[%d]", i)
		checker.name(key+".Name", class.Name)
		checker.duration(key+".Deadline", class.Deadline, minDuration, maxResponseTime)
		checker.duration(key+".Total", class.Total, minDuration, maxResponseTime)
		checkRange(checker, key+".Priority", class.Priority, -maxPriority, maxPriority)
		if class.Deadline > class.Total {
			checker.addProblem(key+".Deadline", "%v is above Total, which is %v", class.Deadline, class.Total)
		}
	}
	checker.unique("Classes", "Name", fieldValues(classes, func(class Class) string { return class.Name }))
}
