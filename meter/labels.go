package meter

import "strings"

// Labels distinguish the series of a metric. Empty labels are omitted.
type Labels struct {
	// Tenant is the name of the tenant.
	Tenant string
	// Class is the name of the request class.
	Class string
	// Kind is the error kind, the tier or another value of a closed set.
	Kind string
	// Subject is the upstream, data centre or other object that a gauge describes.
	Subject string
}

// other replaces the tenant, class and subject of series above the bound.
const other = "other"

// aggregated returns the labels of the series that counts everything above the bound.
func (labels Labels) aggregated() Labels {
	aggregated := labels
	if aggregated.Tenant != "" {
		aggregated.Tenant = other
	}
	if aggregated.Class != "" {
		aggregated.Class = other
	}
	if aggregated.Subject != "" {
		aggregated.Subject = other
	}
	return aggregated
}

// key returns the name of the series in the go-metrics registry.
func (labels Labels) key(name string) string {
	return strings.Join([]string{name, labels.Tenant, labels.Class, labels.Kind, labels.Subject}, "\x00")
}
