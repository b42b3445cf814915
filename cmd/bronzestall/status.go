package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/internal/transport"
	"github.com/bronzestall/bronzestall/settings"
	"github.com/bronzestall/bronzestall/status"
)

// maxReportBytes is the largest status report that is read, in bytes.
const maxReportBytes = 64 << 20

// statusCommand fetches and shows the status report of a daemon.
type statusCommand struct {
	Settings string        `help:"Settings file of the daemon to ask." required:"" type:"path" placeholder:"FILE"`
	Address  string        `help:"IP address and port for operators of another daemon to ask instead." placeholder:"IP:PORT"`
	Timeout  time.Duration `help:"Time to wait for the answer." default:"5s"`
}

// Run prints the report of the daemon. It fails with an unreachableError if no report is received in time.
func (command *statusCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	daemon, err := settings.Load(command.Settings)
	if err != nil {
		return err
	}
	address, err := command.address(daemon)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, command.Timeout)
	defer cancel()
	report, err := command.fetch(ctx, environment, address, daemon.OperatorKeyFile)
	if err != nil {
		return err
	}
	printer.print(report, func(page *page) { printReport(page, report) })
	return nil
}

// address returns the operator address of the daemon. For one that listens on all interfaces it is the
// loopback address with that port. It fails with a usageError if the address is not an IP address and port.
func (command *statusCommand) address(daemon settings.Settings) (string, error) {
	text := daemon.OperatorAddress
	if command.Address != "" {
		text = command.Address
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", &usageError{message: fmt.Sprintf("%q is not an IP address and port", text)}
	}
	if address.Addr().IsUnspecified() {
		return net.JoinHostPort("127.0.0.1", fmt.Sprint(address.Port())), nil
	}
	return address.String(), nil
}

// fetch fetches the report from the operator address, with the operators' key in keyFile.
func (command *statusCommand) fetch(ctx context.Context, environment *environment, address, keyFile string) (status.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status.Report{}, trace.Wrap(err)
	}
	if err := authorize(request, keyFile); err != nil {
		return status.Report{}, err
	}
	client := transport.New(transport.Settings{DialTimeout: command.Timeout}, environment.clock)
	defer client.Close()
	response, err := client.Do(ctx, request, nil)
	if err != nil {
		return status.Report{}, &unreachableError{address: address, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readReport(response, address)
}

// authorize adds the operators' key to the request. Without a key file, or if it does not exist, the
// request carries no key.
func authorize(request *http.Request, keyFile string) error {
	if keyFile == "" {
		return nil
	}
	key, err := os.ReadFile(keyFile)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	return nil
}

// readReport decodes the report in the body of the response, of which it reads at most maxReportBytes bytes.
func readReport(response *http.Response, address string) (status.Report, error) {
	if response.StatusCode != http.StatusOK {
		return status.Report{}, trace.BadParameter("%s responded with %s", address, response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return status.Report{}, &unreachableError{address: address, cause: err}
	}
	var report status.Report
	if err := json.Unmarshal(content, &report); err != nil {
		return status.Report{}, trace.Wrap(err, "the response of %s is not a status report", address)
	}
	return report, nil
}
