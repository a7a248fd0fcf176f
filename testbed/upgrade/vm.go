package upgrade

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/testbed/fleet"
)

const (
	readyInterval = 50 * time.Millisecond // the load balancer asks each VM this often whether it is ready
	callTimeout   = 2 * time.Second       // a question to a VM takes this time at most
)

// vm is an entry VM, whose process is replaced during an upgrade.
type vm struct {
	platformtest.Process
	folder   string
	client   *http.Client
	process  *exec.Cmd
	exited   chan struct{}
	program  atomic.Pointer[string] // name of the program that runs now, or ran last
	planned  atomic.Bool            // the process is being stopped, or was killed on purpose
	ended    atomic.Bool            // the process has ended on its own
	stopping atomic.Bool            // SIGTERM was sent
	ready    atomic.Bool            // the load balancer sends it requests
}

// start starts a program as the VM's process.
func (vm *vm) start(t platformtest.T, program string) error {
	path := filepath.Join(vm.folder, vm.VM+".json")
	if err := os.WriteFile(path, vm.Settings(t), 0o600); err != nil {
		return err
	}
	vm.planned.Store(false)
	vm.stopping.Store(false)
	command := exec.Command(program)
	command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
	fleet.LimitCores(command)
	log, err := fleet.StartProcess(command, vm.log())
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.process, vm.exited = command, exited
	name := filepath.Base(program)
	vm.program.Store(&name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		vm.ended.Store(vm.ended.Load() || !vm.planned.Load())
		close(exited)
	}()
	return nil
}

// log returns the path of the log of the VM's processes.
func (vm *vm) log() string { return filepath.Join(vm.folder, vm.VM+".log") }

// stop ends the process as planned work does.
func (vm *vm) stop() {
	vm.planned.Store(true)
	vm.stopping.Store(true)
	_ = vm.process.Process.Signal(syscall.SIGTERM)
	<-vm.exited
}

// kill ends the process without a warning.
func (vm *vm) kill() {
	vm.planned.Store(true)
	_ = vm.process.Process.Kill()
	<-vm.exited
}

// isReady reports whether the load balancer sends the VM requests.
func (vm *vm) isReady() bool { return vm.ready.Load() }

// balance asks the VM whether it is ready until done is closed, as the load balancer does; two refusals in a row take it out.
func (vm *vm) balance(done <-chan struct{}) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for refusals := 0; ; {
		select {
		case <-done:
			return
		case <-time.After(readyInterval):
		}
		response, err := client.Get("http://" + vm.Ready + platformtest.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			refusals = 0
			vm.ready.Store(true)
		} else if refusals++; refusals == 2 {
			vm.ready.Store(false)
		}
	}
}

// dump is the part of a VM's dump that the checks need; all builds write it.
type dump struct {
	Build     string `json:"build"`
	Version   int64  `json:"version"`
	Endpoints []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"servers"`
}

// dump returns the VM's dump, the zero one if it does not answer.
func (vm *vm) dump() dump {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var dump dump
	response, err := client.Get("http://" + vm.Peers + "/debug/dump")
	if err != nil {
		return dump
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(&dump) != nil {
		dump.Version = 0
	}
	return dump
}

// state returns the state of an endpoint in the dump, "" if it is not there.
func (dump dump) state(id string) string {
	for _, endpoint := range dump.Endpoints {
		if endpoint.ID == id {
			return endpoint.State
		}
	}
	return ""
}
