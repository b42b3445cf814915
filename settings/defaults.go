package settings

import (
	"cmp"
	"slices"
	"time"
)

// The values that replace fields that are zero.
const (
	DefaultPlatformTimeout        = 2 * time.Second
	DefaultFollowEvery            = time.Second
	DefaultListEvery              = 2 * time.Second
	DefaultLeaseTerm              = 10 * time.Second
	DefaultLeaseRenewEvery        = 3 * time.Second
	DefaultAdaptersInFlight       = 32
	DefaultTenantShare            = 1
	DefaultClassName              = "default"
	DefaultClassDeadline          = 30 * time.Second
	DefaultClassTotal             = 10 * time.Minute
	DefaultQueuePerModel          = 256
	DefaultQueueTotal             = 4096
	DefaultQueueBodyBytes   int64 = 8 << 20
	DefaultDrainNotice            = 5 * time.Second
	DefaultDrainLimit             = 10 * time.Minute
	DefaultColdStartWeight        = 1.0
	DefaultIdleHourWeight         = 1.0
)

// WithDefaults returns a copy of the settings in which each zero field that has a default is replaced by it.
func (settings Settings) WithDefaults() Settings {
	settings.Platform = settings.Platform.withDefaults()
	settings.Lease = settings.Lease.withDefaults()
	settings.WeightStore.AdaptersInFlight = cmp.Or(settings.WeightStore.AdaptersInFlight, DefaultAdaptersInFlight)
	settings.Tenants = tenantsWithDefaults(settings.Tenants)
	settings.Classes = classesWithDefaults(settings.Classes)
	settings.KeepWarm = settings.KeepWarm.withDefaults()
	settings.Queue = settings.Queue.withDefaults()
	settings.Drain = settings.Drain.withDefaults()
	return settings
}

func (platform Platform) withDefaults() Platform {
	platform.Timeout = cmp.Or(platform.Timeout, DefaultPlatformTimeout)
	platform.FollowEvery = cmp.Or(platform.FollowEvery, DefaultFollowEvery)
	platform.ListEvery = cmp.Or(platform.ListEvery, DefaultListEvery)
	return platform
}

func (lease Lease) withDefaults() Lease {
	lease.Term = cmp.Or(lease.Term, DefaultLeaseTerm)
	lease.RenewEvery = cmp.Or(lease.RenewEvery, DefaultLeaseRenewEvery)
	return lease
}

func tenantsWithDefaults(tenants []Tenant) []Tenant {
	tenants = slices.Clone(tenants)
	for i := range tenants {
		tenants[i].Share = cmp.Or(tenants[i].Share, DefaultTenantShare)
	}
	return tenants
}

func classesWithDefaults(classes []Class) []Class {
	if len(classes) == 0 {
		classes = []Class{{Name: DefaultClassName}}
	}
	classes = slices.Clone(classes)
	for i := range classes {
		classes[i].Deadline = cmp.Or(classes[i].Deadline, DefaultClassDeadline)
		classes[i].Total = cmp.Or(classes[i].Total, DefaultClassTotal)
	}
	return classes
}

// withDefaults gives both costs the same weight if neither is set.
func (keepWarm KeepWarm) withDefaults() KeepWarm {
	if keepWarm == (KeepWarm{}) {
		return KeepWarm{ColdStartWeight: DefaultColdStartWeight, IdleHourWeight: DefaultIdleHourWeight}
	}
	return keepWarm
}

func (queue Queue) withDefaults() Queue {
	queue.PerModel = cmp.Or(queue.PerModel, DefaultQueuePerModel)
	queue.Total = cmp.Or(queue.Total, DefaultQueueTotal)
	queue.BodyBytes = cmp.Or(queue.BodyBytes, DefaultQueueBodyBytes)
	return queue
}

func (drain Drain) withDefaults() Drain {
	drain.Notice = cmp.Or(drain.Notice, DefaultDrainNotice)
	drain.Limit = cmp.Or(drain.Limit, DefaultDrainLimit)
	return drain
}
