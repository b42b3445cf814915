package front

import (
	"cmp"
	"time"

	"github.com/bronzestall/bronzestall/relay"
)

const (
	// heldFraction is the fraction of the memory limit that bodies of clients and responses which are read whole may take, and
	// minHeldResponses the number of the largest responses for which there is room in any case.
	heldFraction     = 0.2
	minHeldResponses = 2
	// defaultBodyProgress is the default of BodyProgress. Whoever sends waits less than that for the acknowledgement of a packet that was
	// lost a few times.
	defaultBodyProgress = 10 * time.Second
	// minHeldBytes bounds HeldBytes below: room for one of the largest responses, of which part of the budget is kept for small requests.
	minHeldBytes = minHeldResponses * relay.MaxResponseBytes
	// minDescriptors and maxDescriptors bound DescriptorLimit.
	minDescriptors = 64
	maxDescriptors = 1 << 24
)

// heldBytes returns the number of bytes that may be held of bodies and responses under the memory limit.
func heldBytes(memoryLimit int64) int64 {
	return max(int64(heldFraction*float64(memoryLimit)), minHeldBytes)
}

// withDefaults returns the settings with the defaults of the bounds of clients.
func (settings Settings) withDefaults() Settings {
	settings.HeldBytes = cmp.Or(settings.HeldBytes, heldBytes(settings.MemoryLimit))
	settings.BodyProgress = cmp.Or(settings.BodyProgress, defaultBodyProgress)
	return settings
}

// checkClientBounds reports the bounds of clients that are out of their own bounds.
func (settings *Settings) checkClientBounds(report func(key, reason string)) {
	if settings.HeldBytes != 0 && (settings.HeldBytes < minHeldBytes || settings.HeldBytes > settings.MemoryLimit) {
		report("HeldBytes", "must be 16MiB to MemoryLimit, or 0")
	}
	if settings.BodyProgress < 0 || settings.BodyProgress > maxWindow {
		report("BodyProgress", "must be 0s to 10m")
	}
	if settings.DescriptorLimit != 0 && (settings.DescriptorLimit < minDescriptors || settings.DescriptorLimit > maxDescriptors) {
		report("DescriptorLimit", "must be 64 to 16777216, or 0")
	}
}
