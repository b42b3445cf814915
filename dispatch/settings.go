package dispatch

import "time"

// Settings holds the limits of a Dispatcher. The zero value of a field means its default.
type Settings struct {
	// PerModel is the largest number of waiting requests of one model; zero means 256.
	PerModel int
	// Total is the largest number of waiting requests; zero means 4096.
	Total int
	// Shares holds the weights of tenants in fair queueing; the default weight is 1.
	Shares map[string]int
	// MaxResponseBytes is the size limit of a response that is not streamed; zero means 32 MiB.
	MaxResponseBytes int
	// MaxRecordedBytes is the size limit of a response that is recorded with a claim; zero means 64 KiB.
	MaxRecordedBytes int
	// KeyedTimeout bounds a claimed request, which continues when its caller has disconnected; zero means 10 min.
	KeyedTimeout time.Duration
	// ProbeTimeout bounds one probe of an upstream; zero means 1 s.
	ProbeTimeout time.Duration
	// AdapterTimeout bounds the load of one adapter, including the wait for its permit; zero means 10 s.
	AdapterTimeout time.Duration
	// PublishTimeout bounds how long a failure waits until suspects are published to the other daemons; zero
	// means 500 ms.
	PublishTimeout time.Duration
}

// The defaults of Settings.
const (
	defaultPerModel       = 256
	defaultTotal          = 4096
	defaultAnswerBytes    = 32 << 20
	defaultRecordBytes    = 64 << 10
	defaultKeyedLimit     = 10 * time.Minute
	defaultProbeTimeout   = time.Second
	defaultAdapterTimeout = 10 * time.Second
	defaultPublishTimeout = 500 * time.Millisecond
)

// withDefaults returns the settings with the defaults filled in.
func (settings Settings) withDefaults() Settings {
	settings.PerModel = orDefault(settings.PerModel, defaultPerModel)
	settings.Total = orDefault(settings.Total, defaultTotal)
	settings.MaxResponseBytes = orDefault(settings.MaxResponseBytes, defaultAnswerBytes)
	settings.MaxRecordedBytes = orDefault(settings.MaxRecordedBytes, defaultRecordBytes)
	settings.KeyedTimeout = orDefault(settings.KeyedTimeout, defaultKeyedLimit)
	settings.ProbeTimeout = orDefault(settings.ProbeTimeout, defaultProbeTimeout)
	settings.AdapterTimeout = orDefault(settings.AdapterTimeout, defaultAdapterTimeout)
	settings.PublishTimeout = orDefault(settings.PublishTimeout, defaultPublishTimeout)
	return settings
}

// orDefault returns value, or standard if value is zero.
func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}
