package front

import (
	"cmp"
	"syscall"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
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
	// defaultResponseProgress is the default of ResponseProgress. It exceeds the time for which any client is expected to wait between two
	// parts of a response.
	defaultResponseProgress = 30 * time.Second
	// clientShare is the part of the descriptors that connections of clients may take: each may need another one to a replica, and unused
	// connections to replicas stay open for a while.
	clientShare = 3
	// readyShare is the part of the descriptors that connections to the readiness address may take, within minReady and maxReady.
	readyShare         = 16
	minReady, maxReady = 8, 64
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
	settings.DescriptorLimit = cmp.Or(settings.DescriptorLimit, processDescriptors())
	settings.ResponseProgress = cmp.Or(settings.ResponseProgress, defaultResponseProgress)
	settings.BodyProgress = cmp.Or(settings.BodyProgress, defaultBodyProgress)
	return settings
}

// processDescriptors returns the limit of descriptors of the process, within the bounds of DescriptorLimit.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return minDescriptors
	}
	return int(min(max(limit.Cur, minDescriptors), maxDescriptors))
}

// clientConnections returns how many connections of clients may be open.
func (settings *Settings) clientConnections() int { return settings.DescriptorLimit / clientShare }

// readyConnections returns how many connections to the readiness address may be open.
func (settings *Settings) readyConnections() int {
	return min(max(settings.DescriptorLimit/readyShare, minReady), maxReady)
}

// checkClientBounds reports the bounds of clients that are out of their own bounds.
func (settings *Settings) checkClientBounds(report func(key, reason string)) {
	if settings.HeldBytes != 0 && (settings.HeldBytes < minHeldBytes || settings.HeldBytes > settings.MemoryLimit) {
		report("HeldBytes", "must be 16MiB to MemoryLimit, or 0")
	}
	if settings.BodyProgress < 0 || settings.BodyProgress > maxWindow {
		report("BodyProgress", "must be 0s to 10m")
	}
	if settings.ResponseProgress < 0 || settings.ResponseProgress > maxWindow {
		report("ResponseProgress", "must be 0s to 10m")
	}
	if settings.DescriptorLimit != 0 && (settings.DescriptorLimit < minDescriptors || settings.DescriptorLimit > maxDescriptors) {
		report("DescriptorLimit", "must be 64 to 16777216, or 0")
	}
}

// updateConnections sets the metrics of the connections of clients, and logs how many were closed, and how many responses ended unread,
// since the last call. Only housekeeping calls it.
func (daemon *Daemon) updateConnections() {
	connections := daemon.clientConnections.Load()
	if connections == nil {
		return
	}
	open, shed := connections.Open(), connections.Shed()
	daemon.meter.Set(meter.ClientConnections, meter.Labels{}, int64(open))
	daemon.meter.Set(meter.ConnectionsShed, meter.Labels{}, shed)
	if fresh := shed - daemon.shedLogged; fresh > 0 {
		event.ConnectionsShed.Log("Shed", fresh, "Open", open, "Most", daemon.settings.clientConnections())
	}
	daemon.shedLogged = shed
	unread := connections.Unread()
	daemon.meter.Set(meter.ResponsesUnread, meter.Labels{}, unread)
	if fresh := unread - daemon.unreadLogged; fresh > 0 {
		event.ResponsesUnread.Log("Ended", fresh, "Progress", daemon.settings.ResponseProgress)
	}
	daemon.unreadLogged = unread
}
