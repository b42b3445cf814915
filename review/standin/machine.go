package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the system with its daemon, started by the command of the deploy file.
type machine struct {
	name, zone, ip       string
	front, ready, listen string
	settings, log        string
	record               *record

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// deployment is what all machines of a case share.
type deployment struct {
	root, folder, store string
	record              *record
	machines            []*machine
	seeds               []string
}

// freeAddress returns an unused port of the IP address.
func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newMachine prepares a machine; nothing runs yet.
func (deployment *deployment) newMachine(name, zone, ip string) *machine {
	created := &machine{
		name: name, zone: zone, ip: ip, front: freeAddress(ip), ready: freeAddress(ip), listen: freeAddress(ip), record: deployment.record,
		settings: filepath.Join(deployment.folder, name+"-"+ip+".yaml"), log: filepath.Join(deployment.folder, name+"-"+ip+".log"),
	}
	return created
}

// writeSettings fills in the template of the deploy file as the platform does, with the figures of the sheet of calabaza-boletos.
func (deployment *deployment) writeSettings(machine *machine) error {
	template, err := os.ReadFile(filepath.Join(deployment.root, "deploy", "front.yaml"))
	if err != nil {
		return err
	}
	text := string(template)
	if begin := strings.Index(text, "{{#seeds}}"); begin >= 0 {
		end := strings.Index(text, "{{/seeds}}")
		text = text[:begin] + `"` + strings.Join(deployment.seeds, `","`) + `"` + text[end+len("{{/seeds}}"):]
	}
	_, metrics, _ := net.SplitHostPort(freeAddress(machine.ip))
	text = strings.NewReplacer(
		"{{node}}", machine.name, "{{zone}}", machine.zone, "{{listen.front}}", machine.front, "{{listen.ready}}", machine.ready,
		"{{listen.control}}", machine.listen, "{{ip}}", machine.ip, "{{internalPorts.0}}", metrics, "{{platform.address}}", deployment.store,
		"{{limits.memoryMb}}", "284", "{{limits.cores}}", "1", "{{bounds.graceS}}", "8", "{{bounds.leaseMs}}", "3000",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetSlack}}", "52", "{{bounds.budgetWindowS}}", "10", "{{bounds.ceilingWindowS}}", "5",
	).Replace(text)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template has a placeholder that this stand-in does not know:\n%s", text)
	}
	return os.WriteFile(machine.settings, []byte(text), 0o600)
}

// start starts the daemon.
func (deployment *deployment) start(machine *machine) error {
	if err := deployment.writeSettings(machine); err != nil {
		return err
	}
	log, err := os.OpenFile(machine.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(deployment.root, "target", "bronzestall"), "front")
	command.Dir = deployment.root
	command.Env = []string{"BRONZESTALL_NODE_FILE=" + machine.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	deployment.record.add("machine %s at %s: its daemon starts", machine.name, machine.ip)
	machine.command, machine.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(machine.exited)
	return nil
}

// signal sends a signal to the daemon.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command != nil && machine.command.Process != nil {
		machine.record.add("machine %s at %s: %v", machine.name, machine.ip, signal)
		_ = machine.command.Process.Signal(signal)
	}
}

// kill ends the daemon and waits for its end.
func (machine *machine) kill() {
	machine.mutex.Lock()
	command, exited := machine.command, machine.exited
	machine.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	machine.signal(syscall.SIGKILL)
	<-exited
}

// pid returns the process of the daemon.
func (machine *machine) pid() int {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.command.Process.Pid
}

// isReady reports whether the readiness check of the daemon succeeds.
func (machine *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.ready+"/ready", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (deployment *deployment) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, machine := range deployment.machines {
		for !machine.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("machine %s is not ready after %v", machine.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	deployment.record.add("all machines are ready")
	return nil
}
