package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The figures of the smallest machine of the site calabaza-boletos.
	memoryMb = 284
	maxFds   = 4200
	// memoryInterval is the time between two looks at the memory of a process, and restartDelay that from its end to its next start.
	memoryInterval = 20 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// machine is one machine with a front daemon, which the platform starts again whenever it ends, and kills if it exceeds its memory.
type machine struct {
	name, zone, ip             string
	front, ready, control, own string
	settings                   string
	log                        *os.File
	record                     *record

	mutex   sync.Mutex
	command *exec.Cmd
	stopped bool
	// ended counts the ends of the process that nobody asked for, and overMemory those for its memory.
	ended, overMemory int
	// peakMb is the most memory that any of the processes had, in MiB.
	peakMb int
	done   chan struct{}
}

// freePort returns a port that is free on the address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// newMachine chooses the addresses of a machine.
func newMachine(name, zone, ip, folder string, record *record) (*machine, error) {
	created := &machine{name: name, zone: zone, ip: ip, settings: filepath.Join(folder, name+".yaml"), record: record, done: make(chan struct{})}
	for _, address := range []*string{&created.front, &created.ready, &created.control, &created.own} {
		var err error
		if *address, err = freePort(ip); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	created.log = log
	return created, err
}

// configure writes the settings of the machine, with the keys of deploy/front.yaml and the figures of the site calabaza-boletos.
func (machine *machine) configure(seeds []string, storeAddress string) error {
	content := fmt.Sprintf(`Name: %q
DataCentre: %q
ClientAddress: %q
ReadyAddress: %q
PeerAddress: %q
MetricsAddress: %q
Seeds: ["%s"]
StoreAddress: %q
MemoryLimit: %dMiB
Cores: 1
Grace: 8s
Turnover: 3000ms
RetryShare: 0.2
RetrySlack: 52
RetryWindow: 10s
LoadWindow: 5s
`, machine.name, machine.zone, machine.front, machine.ready, machine.control, machine.own, strings.Join(seeds, `","`), storeAddress, memoryMb)
	return os.WriteFile(machine.settings, []byte(content), 0o600)
}

// run starts the process again and again until the machine is stopped.
func (machine *machine) run() {
	defer close(machine.done)
	for {
		command := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/bronzestall front", maxFds))
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZESTALL_NODE_FILE=" + machine.settings}
		command.Stdout, command.Stderr = machine.log, machine.log
		machine.mutex.Lock()
		if machine.stopped {
			machine.mutex.Unlock()
			return
		}
		err := command.Start()
		machine.command = command
		machine.mutex.Unlock()
		if err != nil {
			machine.record.add("%s cannot start: %v", machine.name, err)
			return
		}
		machine.record.add("%s starts as process %d", machine.name, command.Process.Pid)
		ended := make(chan struct{})
		go machine.watchMemory(command.Process, ended)
		err = command.Wait()
		close(ended)
		machine.mutex.Lock()
		if !machine.stopped {
			machine.ended++
			machine.record.add("%s: process %d has ended: %v", machine.name, command.Process.Pid, err)
		}
		machine.mutex.Unlock()
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process once its own memory, without mapped files, exceeds that of the machine.
func (machine *machine) watchMemory(process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		used := ownMemoryMb(process.Pid)
		machine.mutex.Lock()
		machine.peakMb = max(machine.peakMb, used)
		over := used > memoryMb && !machine.stopped
		if over {
			machine.overMemory++
		}
		machine.mutex.Unlock()
		if over {
			machine.record.add("%s: process %d has %d MiB of its own, more than the %d MiB of the machine, and is killed", machine.name, process.Pid, used, memoryMb)
			_ = process.Kill()
			return
		}
	}
}

// ownMemoryMb returns the resident anonymous memory of the process in MiB, zero if it has ended.
func ownMemoryMb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	used, _ := strconv.Atoi(kilobytes)
	return used / 1024
}

// stop ends the process for good.
func (machine *machine) stop() {
	machine.mutex.Lock()
	machine.stopped = true
	if machine.command != nil && machine.command.Process != nil {
		_ = machine.command.Process.Signal(syscall.SIGKILL)
	}
	machine.mutex.Unlock()
	<-machine.done
	_ = machine.log.Close()
}
