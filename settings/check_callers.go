package settings

import (
	"encoding/hex"
	"fmt"
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

func (checker *checker) tenants(tenants []Tenant) {
	if len(tenants) == 0 {
		checker.refuse("Tenants", "is missing; list at least one tenant")
	}
	for i, tenant := range tenants {
		key := fmt.Sprintf("Tenants[%d]", i)
		checker.name(key+".Name", tenant.Name)
		checker.keyHash(key+".KeySHA256", tenant.KeySHA256)
		between(checker, key+".Share", tenant.Share, 1, mostShare)
	}
	checker.unique("Tenants", "Name", namesOf(tenants, func(tenant Tenant) string { return tenant.Name }))
	checker.unique("Tenants", "KeySHA256", namesOf(tenants, func(tenant Tenant) string { return tenant.KeySHA256 }))
}

func (checker *checker) keyHash(key, hash string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != keyHashBytes {
		checker.refuse(key, "is not a SHA-256 hash; allowed are %d hexadecimal digits", 2*keyHashBytes)
	}
}

func (checker *checker) classes(classes []Class) {
	for i, class := range classes {
		key := fmt.Sprintf("Classes[%d]", i)
		checker.name(key+".Name", class.Name)
		checker.duration(key+".Deadline", class.Deadline, shortest, longestAnswer)
		checker.duration(key+".Total", class.Total, shortest, longestAnswer)
		between(checker, key+".Priority", class.Priority, -mostPriority, mostPriority)
		if class.Deadline > class.Total {
			checker.refuse(key+".Deadline", "%v is above Total, which is %v", class.Deadline, class.Total)
		}
	}
	checker.unique("Classes", "Name", namesOf(classes, func(class Class) string { return class.Name }))
}
