package front

import (
	"testing"
	"time"
)

// TestBoundsOfClientsHaveDefaults checks that settings without bounds of clients get those that the smallest VM needs: room for the largest
// responses, and descriptors for replicas, store and daemons.
func TestBoundsOfClientsHaveDefaults(t *testing.T) {
	settings := Settings{MemoryLimit: 32 << 20}.withDefaults()
	if settings.HeldBytes != minHeldBytes || settings.BodyProgress != defaultBodyProgress || settings.DescriptorLimit < minDescriptors {
		t.Errorf("unexpected defaults %+v", settings)
	}
	settings = Settings{MemoryLimit: 1 << 30, HeldBytes: 20 << 20, BodyProgress: time.Second, DescriptorLimit: 3000}.withDefaults()
	if settings.HeldBytes != 20<<20 || settings.BodyProgress != time.Second || settings.clientConnections() != 1000 || settings.readyConnections() != maxReady {
		t.Errorf("settings that are stated are not kept: %+v", settings)
	}
}
