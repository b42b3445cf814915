package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// The defaults of Settings.
const (
	defaultInterval      = time.Second
	defaultTimeout       = time.Second
	defaultForgetTimeout = time.Minute
	defaultMaxCalls      = 16
	defaultFanout        = 2
)

// Settings configures a Node. The zero value of a field means its default.
type Settings struct {
	// Name is the name of the daemon.
	Name string
	// DataCentre is the data centre of the daemon.
	DataCentre string
	// Incarnation should be larger than that of any earlier process of the same name. If a peer has a record with a
	// larger one, the Node raises its own.
	Incarnation uint64
	// PeerAddress is its address for other daemons.
	PeerAddress string
	// CallerAddress is its address for callers.
	CallerAddress string
	// Build tells its build from others, for operators.
	Build string
	// Mode selects how records are exchanged.
	Mode Mode
	// Fanout is the number of peers to exchange with in each interval by Gossip; zero means 2.
	Fanout int
	// Interval is the interval of exchange with each peer of the same data centre; zero means 1 s.
	Interval time.Duration
	// Timeout bounds one call; zero means 1 s.
	Timeout time.Duration
	// ForgetTimeout is how long the record of a peer that is no longer seen is kept; zero means 1 min.
	ForgetTimeout time.Duration
	// MaxCalls is the largest number of exchanges in flight; zero means 16.
	MaxCalls int
	// UseTLS states that peers are called over TLS; Client must support it.
	UseTLS bool
	// Client sends the calls; nil means an HTTP/2 client without encryption.
	Client connect.HTTPClient
	// Members lists the other daemons.
	Members Members
	// Decider serves demand reports and grant requests; nil rejects them.
	Decider Decider
	// Quarantine serves ShareSuspects, Reserve and Release; nil rejects them.
	Quarantine Quarantine
	// Notes serves InForce and Changes; nil rejects them.
	Notes Notes
}

func (settings Settings) withDefaults() Settings {
	if settings.Interval == 0 {
		settings.Interval = defaultInterval
	}
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.ForgetTimeout == 0 {
		settings.ForgetTimeout = defaultForgetTimeout
	}
	if settings.MaxCalls == 0 {
		settings.MaxCalls = defaultMaxCalls
	}
	if settings.Fanout == 0 {
		settings.Fanout = defaultFanout
	}
	if settings.Client == nil {
		settings.Client = NewClient(nil)
	}
	if settings.Members == nil {
		settings.Members = MembersFunc(func() []Member { return nil })
	}
	return settings
}

// Timeouts of the connections between daemons.
const (
	idleTimeout  = 90 * time.Second
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	dialTimeout  = 2 * time.Second
)

// NewClient returns an HTTP/2 client that detects unresponsive connections by pings. Without a TLS configuration
// it does not encrypt.
func NewClient(config *tls.Config) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(config == nil)
	protocols.SetHTTP2(config != nil)
	transport := &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: config,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return &http.Client{Transport: transport}
}
