package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Defaults of Settings.
const (
	defaultEvery   = time.Second
	defaultTimeout = time.Second
	defaultForget  = time.Minute
	defaultCalls   = 16
	defaultFanout  = 2
)

// Settings configures a Node. The zero value of a field means its default.
type Settings struct {
	// Name is the name of the daemon.
	Name string
	// DataCentre is its data centre.
	DataCentre string
	// Incarnation is larger than that of any earlier process of this name, as far as is known.
	// The Node raises it when a peer remembers a larger one.
	Incarnation uint64
	// PeerAddress is its address for other daemons.
	PeerAddress string
	// CallerAddress is its address for callers.
	CallerAddress string
	// Mode chooses the form of exchange.
	Mode Mode
	// Fanout is the number of peers in each interval by Digests; zero means 2.
	Fanout int
	// Interval is the interval of exchange with each peer of the own data centre; zero means 1 s.
	Interval time.Duration
	// Timeout bounds one call; zero means 1 s.
	Timeout time.Duration
	// ForgetTimeout is how long a silent peer's record is kept; zero means 1 min.
	ForgetTimeout time.Duration
	// MaxCalls is the largest number of exchanges in flight; zero means 16.
	MaxCalls int
	// UseTLS states that peers speak TLS; Client must do so, too.
	UseTLS bool
	// Client sends the calls; nil means a client for HTTP/2 without encryption.
	Client connect.HTTPClient
	// Members names the other daemons.
	Members Members
	// Decider answers Demand and Grant; nil refuses them.
	Decider Decider
	// Quarantine answers TellSuspects, Reserve and Release; nil refuses them.
	Quarantine Quarantine
	// Notes answers Changes; nil refuses it.
	Notes Notes
}

func (settings Settings) withDefaults() Settings {
	if settings.Interval == 0 {
		settings.Interval = defaultEvery
	}
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.ForgetTimeout == 0 {
		settings.ForgetTimeout = defaultForget
	}
	if settings.MaxCalls == 0 {
		settings.MaxCalls = defaultCalls
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

// Limits of the connections between daemons.
const (
	idleConnection = 90 * time.Second
	pingAfter      = 5 * time.Second
	pingTimeout    = 2 * time.Second
	dialTimeout    = 2 * time.Second
)

// NewClient returns a client that speaks HTTP/2 and finds silent connections by pings. Without a TLS
// configuration it does not encrypt.
func NewClient(secure *tls.Config) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(secure == nil)
	protocols.SetHTTP2(secure != nil)
	transport := &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: secure,
		IdleConnTimeout: idleConnection,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &http.Client{Transport: transport}
}
