package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/standin/admin"
	"poplarpin.dev/standin/platform"
	standin "poplarpin.dev/standin/settings"
	"poplarpin.dev/standin/target"
)

const (
	pollInterval = 20 * time.Millisecond
	readyTimeout = 20 * time.Second
	smallVM      = "2" // cores of an entry VM
)

// Options are what differs between fleets of one topology.
type Options struct {
	Bin       string // folder of the programs
	Folder    string // for settings and logs
	Mode      settings.Mode
	Extra     *int
	NoHedge   bool
	DrainWait time.Duration
	Seed      uint64
	Secure    *Secure // nil for plain TCP and HTTP
}

// Secure is how a fleet uses TLS.
type Secure struct {
	Files     func(name string) (*settings.TLS, error) // of an entry VM
	Operators []string
	Operator  client.TLS // of the operator that the fleet's own calls use
}

// VM is one entry VM of a fleet.
type VM struct {
	Name     string
	Domain   string
	Peer     string
	Caller   string
	Operator string
	process  *exec.Cmd
	secure   *Secure
}

// Fleet is a running fleet.
type Fleet struct {
	Topology Topology
	VMs      []*VM
	Targets  []standin.Target
	AdminURL string
	options  Options
	standin  *exec.Cmd
	platform string
	logs     []*os.File
}

// Start starts the stand-ins and all entry VMs, without a release in force.
func Start(topology Topology, options Options) (*Fleet, error) {
	ports, err := newPorts()
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Topology: topology, options: options, Targets: topology.targets(ports), platform: ports.next()}
	adminAddress := ports.next()
	fleet.AdminURL = "http://" + adminAddress
	for d, domain := range topology.Domains {
		for i := range topology.VMsPerDomain {
			fleet.VMs = append(fleet.VMs, &VM{Name: fmt.Sprintf("vm%d-%s", i, domain), Domain: topology.Domains[d],
				Peer: ports.next(), Caller: ports.next(), Operator: ports.next(), secure: options.Secure})
		}
	}
	path, err := fleet.write("standin.yaml", standin.Settings{Admin: adminAddress, Platform: fleet.platform,
		VMs: vmList(fleet.VMs, fleet.Targets), Targets: fleet.Targets, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	if fleet.standin, err = fleet.run("standin", path, "standin.log"); err != nil {
		return nil, err
	}
	if err := fleet.await(func() bool { return fleet.Admin(http.MethodGet, "/counters", nil, nil) == nil }); err != nil {
		fleet.Stop()
		return nil, err
	}
	for _, vm := range fleet.VMs {
		if err := fleet.Launch(vm); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	return fleet, nil
}

// write stores settings as YAML and returns their path.
func (fleet *Fleet) write(name string, value any) (string, error) {
	data, err := yaml.Marshal(value)
	if err != nil {
		return "", err
	}
	path := filepath.Join(fleet.options.Folder, name)
	return path, os.WriteFile(path, data, 0o600)
}

// run starts a program, which ends with this process.
func (fleet *Fleet) run(program, argument, log string) (*exec.Cmd, error) {
	file, err := os.OpenFile(filepath.Join(fleet.options.Folder, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	fleet.logs = append(fleet.logs, file)
	command := exec.Command(filepath.Join(fleet.options.Bin, program), argument)
	command.Stdout, command.Stderr = file, file
	if program == "poplarpind" {
		command.Env = append(os.Environ(), "GOMAXPROCS="+smallVM)
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command, command.Start()
}

// Launch starts an entry VM, or starts it anew with an empty memory.
func (fleet *Fleet) Launch(vm *VM) error {
	configured := settings.Settings{Name: vm.Name, FailureDomain: vm.Domain,
		PeerAddress: vm.Peer, CallerAddress: vm.Caller, OperatorAddress: vm.Operator, Platform: "http://" + fleet.platform,
		Mode: fleet.mode(), Extra: fleet.options.Extra, NoHedge: fleet.options.NoHedge,
		DrainWait: config.Duration(fleet.options.DrainWait), Log: "info", PlainCallers: true}
	if secure := fleet.options.Secure; secure != nil {
		files, err := secure.Files(vm.Name)
		if err != nil {
			return err
		}
		configured.TLS, configured.Operators = files, secure.Operators
	}
	path, err := fleet.write(vm.Name+".yaml", configured)
	if err != nil {
		return err
	}
	vm.process, err = fleet.run("poplarpind", path, vm.Name+".log")
	return err
}

func (fleet *Fleet) mode() settings.Mode {
	if fleet.options.Mode == "" {
		return settings.Owner
	}
	return fleet.options.Mode
}

// PID returns the process of a running entry VM.
func (vm *VM) PID() int { return vm.process.Process.Pid }

// Signal sends a signal to an entry VM.
func (vm *VM) Signal(signal syscall.Signal) error { return vm.process.Process.Signal(signal) }

// Wait returns when an entry VM's process has ended; it is an error if it did not exit with 0.
func (vm *VM) Wait() error { return vm.process.Wait() }

// Client returns a client of an entry VM's operator interface.
func (vm *VM) Client() *client.Client {
	if vm.secure == nil {
		return mustClient("http://"+vm.Operator, client.TLS{})
	}
	return mustClient("https://"+vm.Operator, vm.secure.Operator)
}

// Callers returns a client of an entry VM's caller interface.
func (vm *VM) Callers() *client.Client { return mustClient("http://"+vm.Caller, client.TLS{}) }

func mustClient(url string, files client.TLS) *client.Client {
	made, err := client.New(url, files)
	if err != nil {
		panic(err) // the files are the fleet's own
	}
	return made
}

// Stop ends all processes.
func (fleet *Fleet) Stop() {
	for _, vm := range fleet.VMs {
		end(vm.process)
	}
	end(fleet.standin)
	for _, log := range fleet.logs {
		_ = log.Close()
	}
}

func end(command *exec.Cmd) {
	if command == nil || command.Process == nil || command.ProcessState != nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
}

func (fleet *Fleet) await(condition func() bool) error {
	return Await(readyTimeout, condition)
}

// Await polls a condition until it holds or the time is over.
func Await(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("the condition did not hold within %s", timeout)
}

// Admin calls the stand-ins' admin interface.
func (fleet *Fleet) Admin(method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, fleet.AdminURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		detail, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s: %s: %s", path, response.Status, detail)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// SetTargets sets the faults of targets, of all if none are named.
func (fleet *Fleet) SetTargets(faults target.Faults, names ...string) error {
	return fleet.Admin(http.MethodPost, "/faults/targets", admin.TargetFaults{Targets: names, Faults: faults}, nil)
}

// SetPlatform sets the faults of the platform.
func (fleet *Fleet) SetPlatform(faults platform.Faults) error {
	return fleet.Admin(http.MethodPost, "/faults/platform", faults, nil)
}

// SetVMs replaces the platform's VM list by this fleet's, with some VMs left out or leaving.
func (fleet *Fleet) SetVMs(change func(*object.VM) bool) error {
	var list object.VMList
	for _, vm := range vmList(fleet.VMs, fleet.Targets) {
		if change(&vm) {
			list.VMs = append(list.VMs, vm)
		}
	}
	return fleet.Admin(http.MethodPut, "/vms", list, nil)
}

// Counters returns the stand-ins' counters.
func (fleet *Fleet) Counters() (admin.Counters, error) {
	var counters admin.Counters
	return counters, fleet.Admin(http.MethodGet, "/counters", nil, &counters)
}

// Declared returns the targets as a release note declares them.
func (fleet *Fleet) Declared() []config.Target {
	var targets []config.Target
	for _, target := range fleet.Targets {
		targets = append(targets, target.Target)
	}
	return targets
}

// Apply submits a note at an entry VM.
func (fleet *Fleet) Apply(vm *VM, note release.Note) (api.Release, error) {
	return vm.Client().Apply(context.Background(), note)
}

// Prepare puts the topology in force on all entry VMs.
func (fleet *Fleet) Prepare() error {
	if err := fleet.await(fleet.complete); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	accepted, err := fleet.Apply(fleet.VMs[0], fleet.Topology.Note("setup", fleet.Declared()))
	if err != nil {
		return err
	}
	if err := fleet.await(func() bool { return fleet.InForce(accepted.Release, fleet.VMs...) }); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// complete reports whether every entry VM knows all others.
func (fleet *Fleet) complete() bool {
	for _, vm := range fleet.VMs {
		status, err := vm.Client().Status(context.Background())
		if err != nil {
			return false
		}
		known := 0
		for _, domain := range status.Domains {
			known += domain.VMs
		}
		if known < len(fleet.VMs) {
			return false
		}
	}
	return true
}

// InForce reports whether a release or a later one is in force on entry VMs.
func (fleet *Fleet) InForce(number int64, vms ...*VM) bool {
	for _, vm := range vms {
		if vm.Release() < number {
			return false
		}
	}
	return true
}

// Release returns the release in force on an entry VM, 0 if it does not answer.
func (vm *VM) Release() int64 {
	status, err := vm.Client().Status(context.Background())
	if err != nil {
		return 0
	}
	return status.Release
}

// WriteNote stores a note as YAML for plans and returns its path.
func (fleet *Fleet) WriteNote(note release.Note) (string, error) {
	return fleet.write("note-"+note.ID+".yaml", note)
}
