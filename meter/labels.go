package meter

import "strings"

// Labels tell one series of a metric from another. Empty labels are left out.
type Labels struct {
	// Tenant is the name of the tenant.
	Tenant string
	// Class is the name of the class.
	Class string
	// Kind is the error kind, tier or other closed word.
	Kind string
	// Subject is the upstream, data centre or other subject of a gauge.
	Subject string
}

// other stands for every label above the bound on series.
const other = "other"

func (labels Labels) folded() Labels {
	folded := labels
	if folded.Tenant != "" {
		folded.Tenant = other
	}
	if folded.Class != "" {
		folded.Class = other
	}
	if folded.Subject != "" {
		folded.Subject = other
	}
	return folded
}

func (labels Labels) key(name string) string {
	return strings.Join([]string{name, labels.Tenant, labels.Class, labels.Kind, labels.Subject}, "\x00")
}
