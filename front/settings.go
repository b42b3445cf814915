package front

import (
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// Settings is the content of the settings file of a front daemon.
type Settings struct {
	// Name is the name of the VM, unique among live daemons.
	Name string `yaml:"Name"`
	// DataCentre is the name of the data centre that contains the VM.
	DataCentre string `yaml:"DataCentre"`
	// ClientAddress, ReadyAddress, PeerAddress and MetricsAddress are IP addresses with ports for clients,
	// the readiness check, other daemons and metrics. Metrics are not served if MetricsAddress is empty.
	ClientAddress  string `yaml:"ClientAddress"`
	ReadyAddress   string `yaml:"ReadyAddress"`
	PeerAddress    string `yaml:"PeerAddress"`
	MetricsAddress string `yaml:"MetricsAddress"`
	// Seeds lists the PeerAddress of daemons to contact first.
	Seeds []string `yaml:"Seeds"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `yaml:"StoreAddress"`
	// MemoryLimit is the memory in bytes above which the process is killed.
	MemoryLimit int64 `yaml:"MemoryLimit" unit:"bytes"`
	// Cores is the number of processor cores.
	Cores int `yaml:"Cores"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration `yaml:"Grace"`
	// Turnover is the shortest time between orders of two daemons to one engine.
	Turnover time.Duration `yaml:"Turnover"`
	// RetryShare and RetrySlack limit the retries of all daemons together within each RetryWindow: a fraction of
	// the requests, plus a fixed number. The window has no effect of its own: daemons save retries up to RetrySlack and
	// earn RetryShare for each request, so that the limit holds within a window of any length.
	RetryShare  float64       `yaml:"RetryShare"`
	RetrySlack  float64       `yaml:"RetrySlack"`
	RetryWindow time.Duration `yaml:"RetryWindow"`
	// LoadWindow is the time over which the rate of model loads from the weight store is limited.
	LoadWindow time.Duration `yaml:"LoadWindow"`
	// LoadsAtOnce is the number of model loads from the weight store that run at full speed together; zero
	// means 4.
	LoadsAtOnce int `yaml:"LoadsAtOnce"`
	// KeyRevocation is the time after the acknowledgement of a configuration from which a key that it removed is no longer accepted; zero
	// means that it is not bounded.
	KeyRevocation time.Duration `yaml:"KeyRevocation"`
	// QuotaWindow, QuotaExcess and QuotaSlack state what the operator bears: within QuotaWindow, the requests of an account use what its
	// quota allows in that time, more by the fraction QuotaExcess, and by QuotaSlack in the unit of the quota. Part of QuotaSlack is used
	// as a larger burst; the rest, and the other two, are not used but left for faults.
	QuotaWindow time.Duration `yaml:"QuotaWindow"`
	QuotaExcess float64       `yaml:"QuotaExcess"`
	QuotaSlack  float64       `yaml:"QuotaSlack"`
	// HeldBytes is the number of bytes that may be held of bodies of clients and of responses; zero means a fifth of MemoryLimit, or room
	// for two of the largest responses if that is more.
	HeldBytes int64 `yaml:"HeldBytes" unit:"bytes"`
	// BodyProgress is the time in which the body of a request must grow by some bytes; zero means 10s.
	BodyProgress time.Duration `yaml:"BodyProgress"`
	// ResponseProgress is the time within which a client must read the next 64 KiB of a response, or all that there is; zero means 30s.
	ResponseProgress time.Duration `yaml:"ResponseProgress"`
	// DescriptorLimit is the number of descriptors that the process may have open; zero means the limit of the process.
	DescriptorLimit int `yaml:"DescriptorLimit"`
}

// Load reads and checks a settings file. It fails if the file cannot be read, is invalid or has unknown keys.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, content)
}

// Parse decodes and checks the content of a settings file. The name is used only in errors, which list every
// problem with its line; unknown keys are problems.
func Parse(name string, content []byte) (Settings, error) {
	parsed, unknown, problems := decodeSettings(content)
	if err := strictyaml.NewError(name, append(problems, unknown...)); err != nil {
		return Settings{}, err
	}
	return parsed, nil
}

// LoadOpen reads and checks a settings file that may be written for a later build. It logs unknown keys, which are ignored, and
// fails if the file cannot be read or is invalid.
func LoadOpen(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return parseOpen(path, content)
}

// parseOpen decodes and checks the content of a settings file as LoadOpen does.
func parseOpen(name string, content []byte) (Settings, error) {
	parsed, unknown, problems := decodeSettings(content)
	if err := strictyaml.NewError(name, problems); err != nil {
		return Settings{}, err
	}
	for _, key := range unknown {
		event.SettingIgnored.Log("File", name, "Line", key.Line, "Key", key.Key)
	}
	return parsed, nil
}

// decodeSettings decodes and checks the content of a settings file. It returns unknown keys apart from other problems.
func decodeSettings(content []byte) (parsed Settings, unknown, problems []strictyaml.Problem) {
	lines, unknown, problems := strictyaml.DecodeOpen(content, &parsed)
	if len(problems) == 0 {
		problems = parsed.check(lines)
	}
	return parsed, unknown, problems
}

// The bounds of settings.
const (
	minMemoryBytes = 32 << 20
	maxGrace       = 10 * time.Minute
	maxWindow      = 10 * time.Minute
	maxCores       = 1024
	maxRetrySlack  = 1_000_000
	maxLoadsAtOnce = 1000
	maxQuotaSlack  = 1e9
)

// check returns the invalid settings, ordered by line.
func (settings *Settings) check(lines strictyaml.Lines) []strictyaml.Problem {
	var problems []strictyaml.Problem
	report := func(key, reason string) {
		problems = append(problems, strictyaml.Problem{Line: lines[key], Key: key, Reason: reason})
	}
	for key, value := range map[string]string{"Name": settings.Name, "DataCentre": settings.DataCentre} {
		if value == "" {
			report(key, "is required")
		}
	}
	for key, address := range map[string]string{
		"ClientAddress": settings.ClientAddress,
		"ReadyAddress":  settings.ReadyAddress,
		"PeerAddress":   settings.PeerAddress,
		"StoreAddress":  settings.StoreAddress,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			report(key, "must be an IP address and port")
		}
	}
	settings.checkOptional(report)
	settings.checkBounds(report)
	strictyaml.Sort(problems)
	return problems
}

// checkOptional reports invalid addresses among those that may be missing.
func (settings *Settings) checkOptional(report func(key, reason string)) {
	if _, err := netip.ParseAddrPort(settings.MetricsAddress); err != nil && settings.MetricsAddress != "" {
		report("MetricsAddress", "must be an IP address and port, or empty")
	}
	for _, seed := range settings.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			report("Seeds", "must be IP addresses and ports")
			break
		}
	}
}

// checkBounds reports the numbers and times that are out of their bounds.
func (settings *Settings) checkBounds(report func(key, reason string)) {
	if settings.MemoryLimit < minMemoryBytes {
		report("MemoryLimit", "must be at least 32MiB")
	}
	if settings.Cores < 1 || settings.Cores > maxCores {
		report("Cores", "must be 1 to 1024")
	}
	if settings.Grace <= 0 || settings.Grace > maxGrace {
		report("Grace", "must be above 0s and at most 10m")
	}
	if settings.Turnover < 0 || settings.Turnover > maxWindow {
		report("Turnover", "must be 0s to 10m")
	}
	if !(settings.RetryShare >= 0 && settings.RetryShare <= 1) {
		report("RetryShare", "must be 0 to 1")
	}
	if settings.RetrySlack < 0 || math.IsNaN(settings.RetrySlack) || settings.RetrySlack > maxRetrySlack {
		report("RetrySlack", "must be 0 to 1000000")
	}
	if settings.LoadWindow < 0 || settings.LoadWindow > maxWindow {
		report("LoadWindow", "must be 0s to 10m")
	}
	if settings.LoadsAtOnce < 0 || settings.LoadsAtOnce > maxLoadsAtOnce {
		report("LoadsAtOnce", "must be 0 to 1000")
	}
	if settings.KeyRevocation < 0 || settings.KeyRevocation > maxWindow {
		report("KeyRevocation", "must be 0s to 10m")
	}
	if settings.QuotaWindow < 0 || settings.QuotaWindow > maxWindow {
		report("QuotaWindow", "must be 0s to 10m")
	}
	if !(settings.QuotaExcess >= 0 && settings.QuotaExcess <= 1) {
		report("QuotaExcess", "must be 0 to 1")
	}
	if !(settings.QuotaSlack >= 0 && settings.QuotaSlack <= maxQuotaSlack) {
		report("QuotaSlack", "must be 0 to 1000000000")
	}
	settings.checkClientBounds(report)
	if settings.RetryWindow <= 0 || settings.RetryWindow > maxWindow {
		report("RetryWindow", "must be above 0s and at most 10m")
	}
}
