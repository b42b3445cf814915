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

// longestReport bounds the answer of a daemon in bytes.
const longestReport = 64 << 20

// statusCommand asks a daemon what it knows.
type statusCommand struct {
	Settings string        `help:"Settings file of the daemon to ask." required:"" type:"path" placeholder:"FILE"`
	Address  string        `help:"IP address and port for operators of another daemon to ask instead." placeholder:"IP:PORT"`
	Timeout  time.Duration `help:"Time to wait for the answer." default:"5s"`
}

// Run prints the report of the daemon.
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
	report, err := command.ask(ctx, environment, address, daemon.OperatorKeyFile)
	if err != nil {
		return err
	}
	printer.print(report, func(page *page) { printReport(page, report) })
	return nil
}

// address returns the address to ask. A daemon that listens on every address is asked on this machine.
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

func (command *statusCommand) ask(ctx context.Context, environment *environment, address, keyFile string) (status.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status.Report{}, trace.Wrap(err)
	}
	if err := authorize(request, keyFile); err != nil {
		return status.Report{}, err
	}
	wire := transport.New(transport.Settings{DialTimeout: command.Timeout}, environment.clock)
	defer wire.Close()
	response, err := wire.Do(ctx, request, nil)
	if err != nil {
		return status.Report{}, &unreachableError{address: address, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readReport(response, address)
}

// authorize adds the operators' key, if there is a file with one.
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

func readReport(response *http.Response, address string) (status.Report, error) {
	if response.StatusCode != http.StatusOK {
		return status.Report{}, trace.BadParameter("%s answered %s", address, response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, longestReport))
	if err != nil {
		return status.Report{}, &unreachableError{address: address, cause: err}
	}
	var report status.Report
	if err := json.Unmarshal(content, &report); err != nil {
		return status.Report{}, trace.Wrap(err, "the answer of %s is no status", address)
	}
	return report, nil
}
