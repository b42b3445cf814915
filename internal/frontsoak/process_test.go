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

// process is one daemon, which is restarted whenever it ends.
type process struct {
	name, binary, settings string
	// client is the address on which the daemon serves clients, and ready that of its readiness check.
	client, ready string
	// store is the proxy between the daemon and the store.
	store *proxy
	log   *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	stopped bool
	// started lists the binaries of all starts.
	started []string
	// suspensions is the number of those that have not ended.
	suspensions int
	// held is closed when the daemon may start again; nil unless it is held down.
	held chan struct{}
	done chan struct{}
	// onStart is called before each start.
	onStart func(daemon string)
}

// loopbackIP returns the loopback address for the daemons of one seed. Each seed has its own address, since otherwise a
// parallel run could be given the port of a daemon that is being restarted.
func loopbackIP(seed uint64) string {
	const octets = 200
	return fmt.Sprintf("127.%d.%d.1", 1+seed/octets%octets, 1+seed%octets)
}

// freeAddresses returns addresses with unused ports of the IP address.
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

// newProcesses writes the settings of daemons in two data centres, each with a proxy to the store, and starts none.
func newProcesses(count int, ip, binary, folder, store string) ([]*process, error) {
	addresses, err := freeAddresses(ip, 3*count)
	if err != nil {
		return nil, err
	}
	var processes []*process
	seeds := `"` + strings.Join(addresses[:count], `","`) + `"`
	for index := range count {
		created := &process{name: fmt.Sprintf("front-%d", index), binary: binary, client: addresses[count+index], ready: addresses[2*count+index], done: make(chan struct{})}
		if created.store, err = newProxy(store); err != nil {
			return nil, err
		}
		created.settings = filepath.Join(folder, created.name+".yaml")
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
`, created.name, index%2, created.client, created.ready, addresses[index], seeds, created.store.address())
		// The test runs the daemon only as a process. Parsing the settings here makes the test binary depend on the
		// code of the daemon, so that go test does not reuse a cached result after a change of that code.
		if _, err := front.Parse(created.settings, []byte(content)); err != nil {
			return nil, err
		}
		if err := os.WriteFile(created.settings, []byte(content), 0o600); err != nil {
			return nil, err
		}
		if created.log, err = os.Create(filepath.Join(folder, created.name+".log")); err != nil {
			return nil, err
		}
		processes = append(processes, created)
	}
	return processes, nil
}

// supervise runs the daemon, and restarts it each time it ends, until terminate is called.
func (process *process) supervise() {
	defer close(process.done)
	for {
		process.mutex.Lock()
		if process.stopped {
			process.mutex.Unlock()
			return
		}
		command := exec.Command(process.binary, "front", "--settings", process.settings)
		command.Stdout, command.Stderr = process.log, process.log
		process.started = append(process.started, process.binary)
		process.onStart(process.name)
		err := command.Start()
		process.command = command
		process.mutex.Unlock()
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(300 * time.Millisecond)
		process.awaitPower()
	}
}

// hold kills the daemon and keeps it down until the function that it returns is called.
func (process *process) hold() (release func()) {
	held := make(chan struct{})
	process.mutex.Lock()
	process.held = held
	process.mutex.Unlock()
	process.signal(syscall.SIGKILL)
	return func() { close(held) }
}

// awaitPower waits while the daemon is held down.
func (process *process) awaitPower() {
	process.mutex.Lock()
	held := process.held
	process.mutex.Unlock()
	if held != nil {
		<-held
	}
}

// suspend stops the daemon until resume was called as often.
func (process *process) suspend() {
	process.mutex.Lock()
	process.suspensions++
	process.mutex.Unlock()
	process.signal(syscall.SIGSTOP)
}

// resume ends one suspension.
func (process *process) resume(checker *checker) {
	process.mutex.Lock()
	process.suspensions--
	last := process.suspensions == 0
	process.mutex.Unlock()
	if last {
		checker.recordResume(process.name)
		process.signal(syscall.SIGCONT)
	}
}

// signal sends a signal to the daemon, if it runs.
func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil && process.command.Process != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// terminate kills the daemon and waits until supervise has returned.
func (process *process) terminate() {
	process.mutex.Lock()
	process.stopped = true
	process.mutex.Unlock()
	process.signal(syscall.SIGCONT)
	process.signal(syscall.SIGKILL)
	<-process.done
	_ = process.log.Close()
}
