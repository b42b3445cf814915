package frontsoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bronzestall/bronzestall/front"
)

// process is one daemon, which is started again whenever it ends.
type process struct {
	name, binary, settings string
	client                 string
	store                  *proxy
	log                    *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	stopped bool
	done    chan struct{}
	// began is called at each start.
	began func(daemon string)
}

// ownIP returns a loopback address for the daemons of one run, so that runs side by side never get the port of
// a daemon of another one that is down for a moment.
func ownIP(seed uint64) string {
	const most = 200
	return fmt.Sprintf("127.%d.%d.1", 1+seed/most%most, 1+seed%most)
}

// freeAddresses returns ports of the IP address that nobody listens on.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		defer func() { _ = listener.Close() }()
	}
	return addresses, nil
}

// newProcesses prepares daemons of two data centres before the store.
func newProcesses(count int, ip, binary, folder, store string) ([]*process, error) {
	addresses, err := freeAddresses(ip, 3*count)
	if err != nil {
		return nil, err
	}
	var all []*process
	seeds := `"` + strings.Join(addresses[:count], `","`) + `"`
	for index := range count {
		made := &process{name: fmt.Sprintf("front-%d", index), binary: binary, client: addresses[count+index], done: make(chan struct{})}
		if made.store, err = newProxy(store); err != nil {
			return nil, err
		}
		made.settings = filepath.Join(folder, made.name+".yaml")
		content := fmt.Sprintf(`Name: %s
DataCentre: z%d
ClientAddress: %q
ReadyAddress: %q
PeerAddress: %q
Seeds: [%s]
StoreAddress: %q
MemoryLimit: 256MiB
Cores: 1
Grace: 4s
Turnover: 3s
RetryShare: 0.2
RetrySlack: 50
RetryWindow: 10s
LoadWindow: 5s
`, made.name, index%2, made.client, addresses[2*count+index], addresses[index], seeds, made.store.address())
		// Checking the settings here also makes the test depend on the code of the daemon, which it runs as a
		// process only, so that a result is not taken from the cache after a change of that code.
		if _, err := front.Parse(made.settings, []byte(content)); err != nil {
			return nil, err
		}
		if err := os.WriteFile(made.settings, []byte(content), 0o600); err != nil {
			return nil, err
		}
		if made.log, err = os.Create(filepath.Join(folder, made.name+".log")); err != nil {
			return nil, err
		}
		all = append(all, made)
	}
	return all, nil
}

// keep runs the daemon until halt, and again after each end.
func (process *process) keep() {
	defer close(process.done)
	for {
		process.mutex.Lock()
		if process.stopped {
			process.mutex.Unlock()
			return
		}
		command := exec.Command(process.binary, "front", "--settings", process.settings)
		command.Stdout, command.Stderr = process.log, process.log
		process.began(process.name)
		err := command.Start()
		process.command = command
		process.mutex.Unlock()
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// signal sends a signal to the daemon.
func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil && process.command.Process != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// halt ends the daemon for good.
func (process *process) halt() {
	process.mutex.Lock()
	process.stopped = true
	process.mutex.Unlock()
	process.signal(syscall.SIGCONT)
	process.signal(syscall.SIGKILL)
	<-process.done
	_ = process.log.Close()
}
