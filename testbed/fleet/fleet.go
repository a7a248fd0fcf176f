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
	coresPerVM   = "2" // GOMAXPROCS of an entry VM
)

// Options holds what may differ between fleets of one topology.
type Options struct {
	Bin           string // folder that holds the poplarpind and standin binaries
	Folder        string // for settings, notes and logs
	Mode          settings.Mode
	ExtraInFlight *int // calls in flight at a target beyond its slots; nil for the default
	NoHedge       bool
	DrainWait     time.Duration
	Seed          uint64
	TLS           *TLSOptions // nil for plain TCP and HTTP
	// MaxDescriptors limits the descriptors of an entry VM's process; 0 for the kernel's limit.
	MaxDescriptors int
}

// TLSOptions holds the certificates of a fleet that uses TLS.
type TLSOptions struct {
	Issue     func(name string) (*settings.TLS, error) // issues the certificate of an entry VM
	Callers   bool                                     // callers use TLS, too
	Operators []string
	Operator  client.TLS // certificate files for the fleet's own calls to the operator interfaces, and to the callers' if they use TLS
}

// VM is an entry VM of a fleet and its process.
type VM struct {
	Name            string
	FailureDomain   string
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	process         *exec.Cmd
	tls             *TLSOptions
}

// Fleet is a set of running entry VMs and a process with stand-ins for the platform and the targets.
type Fleet struct {
	Topology        Topology
	VMs             []*VM
	Targets         []standin.Target
	AdminURL        string
	options         Options
	standin         *exec.Cmd
	platformAddress string
	logs            []*os.File
}

// Start starts the stand-ins and all entry VMs; no release is in force yet.
func Start(topology Topology, options Options) (*Fleet, error) {
	addresses, err := newAddressPool()
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Topology: topology, options: options, Targets: topology.targets(addresses), platformAddress: addresses.next()}
	adminAddress := addresses.next()
	fleet.AdminURL = "http://" + adminAddress
	for d, domain := range topology.FailureDomains {
		for i := range topology.VMsPerFailureDomain {
			fleet.VMs = append(fleet.VMs, &VM{Name: fmt.Sprintf("vm%d-%s", i, domain), FailureDomain: topology.FailureDomains[d],
				PeerAddress: addresses.next(), CallerAddress: addresses.next(), OperatorAddress: addresses.next(), tls: options.TLS})
		}
	}
	path, err := fleet.writeYAML("standin.yaml", standin.Settings{Admin: adminAddress, Platform: fleet.platformAddress,
		VMs: vmList(fleet.VMs, fleet.Targets), Targets: fleet.Targets, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	if fleet.standin, err = fleet.startProcess("standin", path, "standin.log"); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(func() bool { return fleet.Admin(http.MethodGet, "/counters", nil, nil) == nil }); err != nil {
		fleet.Stop()
		return nil, fmt.Errorf("stand-ins: %w; last output: %s", err, LastOutput(filepath.Join(fleet.options.Folder, "standin.log")))
	}
	for _, vm := range fleet.VMs {
		if err := fleet.Launch(vm); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	return fleet, nil
}

// writeYAML writes a value as YAML to the fleet's folder and returns the file's path.
func (fleet *Fleet) writeYAML(name string, value any) (string, error) {
	data, err := yaml.Marshal(value)
	if err != nil {
		return "", err
	}
	path := filepath.Join(fleet.options.Folder, name)
	return path, os.WriteFile(path, data, 0o600)
}

// startProcess starts a program with its output appended to a log file in the fleet's folder.
func (fleet *Fleet) startProcess(program, argument, log string) (*exec.Cmd, error) {
	command := exec.Command(filepath.Join(fleet.options.Bin, program), argument)
	if program == "poplarpind" {
		LimitCores(command)
	}
	file, err := StartProcess(command, filepath.Join(fleet.options.Folder, log))
	if file != nil {
		fleet.logs = append(fleet.logs, file)
	}
	return command, err
}

// LimitCores gives the process of an entry VM, which has not started, the cores of a VM.
func LimitCores(command *exec.Cmd) {
	command.Env = append(command.Environ(), "GOMAXPROCS="+coresPerVM)
}

// StartProcess starts a process with its output appended to a log file, which it returns. The kernel kills the process when this one ends.
func StartProcess(command *exec.Cmd, log string) (*os.File, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command.Stdout, command.Stderr = file, file
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return file, command.Start()
}

// Launch starts an entry VM, or restarts one that has ended; a restarted VM keeps nothing from its last run.
func (fleet *Fleet) Launch(vm *VM) error {
	vmSettings := settings.Settings{Name: vm.Name, FailureDomain: vm.FailureDomain,
		PeerAddress: vm.PeerAddress, CallerAddress: vm.CallerAddress, OperatorAddress: vm.OperatorAddress, Platform: "http://" + fleet.platformAddress,
		Mode: fleet.mode(), Extra: fleet.options.ExtraInFlight, NoHedge: fleet.options.NoHedge,
		DrainWait: config.Duration(fleet.options.DrainWait), Log: "info", PlainCallers: true, MaxDescriptors: fleet.options.MaxDescriptors}
	if tls := fleet.options.TLS; tls != nil {
		files, err := tls.Issue(vm.Name)
		if err != nil {
			return err
		}
		vmSettings.TLS, vmSettings.Operators, vmSettings.PlainCallers = files, tls.Operators, !tls.Callers
	}
	path, err := fleet.writeYAML(vm.Name+".yaml", vmSettings)
	if err != nil {
		return err
	}
	vm.process, err = fleet.startProcess("poplarpind", path, vm.Name+".log")
	return err
}

func (fleet *Fleet) mode() settings.Mode {
	if fleet.options.Mode == "" {
		return settings.Owner
	}
	return fleet.options.Mode
}

// PID returns the process id of an entry VM.
func (vm *VM) PID() int { return vm.process.Process.Pid }

// Signal sends a signal to an entry VM's process.
func (vm *VM) Signal(signal syscall.Signal) error { return vm.process.Process.Signal(signal) }

// Wait waits for an entry VM's process to end, with an error unless its exit status is 0.
func (vm *VM) Wait() error { return vm.process.Wait() }

// OperatorClient returns a client of the entry VM's operator interface.
func (vm *VM) OperatorClient() *client.Client {
	if vm.tls == nil {
		return mustClient("http://"+vm.OperatorAddress, client.TLS{})
	}
	return mustClient("https://"+vm.OperatorAddress, vm.tls.Operator)
}

// CallerClient returns a client of the entry VM's caller interface.
func (vm *VM) CallerClient() *client.Client {
	if vm.tls == nil || !vm.tls.Callers {
		return mustClient("http://"+vm.CallerAddress, client.TLS{})
	}
	return mustClient("https://"+vm.CallerAddress, vm.tls.Operator)
}

func mustClient(url string, files client.TLS) *client.Client {
	created, err := client.New(url, files)
	if err != nil {
		panic(err) // cannot fail on a fleet's own address and certificate files
	}
	return created
}

// Stop kills all processes of the fleet and closes their logs.
func (fleet *Fleet) Stop() {
	for _, vm := range fleet.VMs {
		kill(vm.process)
	}
	kill(fleet.standin)
	for _, log := range fleet.logs {
		_ = log.Close()
	}
}

func kill(command *exec.Cmd) {
	if command == nil || command.Process == nil || command.ProcessState != nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
}

const maxOutputBytes = 500 // of a process, in an error

// LastOutput returns the end of a log file.
func LastOutput(log string) string {
	data, err := os.ReadFile(log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(len(data)-maxOutputBytes, 0):])
}

func (fleet *Fleet) awaitReady(condition func() bool) error {
	return Await(readyTimeout, condition)
}

// Await polls a condition until it holds, with an error after the timeout.
func Await(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %s", timeout)
}

// Admin calls the admin interface of the stand-ins with a JSON body and decodes the response into result, unless that is nil.
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
		return fmt.Errorf("stand-in admin %s: %s: %s", path, response.Status, detail)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// SetTargets sets the faults of the named targets, or of all targets if no name is given.
func (fleet *Fleet) SetTargets(faults target.Faults, names ...string) error {
	return fleet.Admin(http.MethodPost, "/faults/targets", admin.TargetFaults{Targets: names, Faults: faults}, nil)
}

// SetPlatform sets the faults of the platform.
func (fleet *Fleet) SetPlatform(faults platform.Faults) error {
	return fleet.Admin(http.MethodPost, "/faults/platform", faults, nil)
}

// SetVMs replaces the platform's VM list by the fleet's. For each VM it calls edit, which may change the entry and reports whether to
// keep it.
func (fleet *Fleet) SetVMs(edit func(*object.VM) bool) error {
	var list object.VMList
	for _, vm := range vmList(fleet.VMs, fleet.Targets) {
		if edit(&vm) {
			list.VMs = append(list.VMs, vm)
		}
	}
	return fleet.Admin(http.MethodPut, "/vms", list, nil)
}

// Counters returns the counters of the stand-ins.
func (fleet *Fleet) Counters() (admin.Counters, error) {
	var counters admin.Counters
	return counters, fleet.Admin(http.MethodGet, "/counters", nil, &counters)
}

// TargetConfigs returns the targets as a release note declares them.
func (fleet *Fleet) TargetConfigs() []config.Target {
	var targets []config.Target
	for _, target := range fleet.Targets {
		targets = append(targets, target.Target)
	}
	return targets
}

// Apply submits a release note at an entry VM.
func (fleet *Fleet) Apply(vm *VM, note release.Note) (api.Release, error) {
	return vm.OperatorClient().Apply(context.Background(), note)
}

// ApplyTopology waits until the entry VMs know each other, applies the topology's release note and waits until it is in force on all.
func (fleet *Fleet) ApplyTopology() error {
	if err := fleet.awaitReady(fleet.membershipComplete); err != nil {
		return fmt.Errorf("wait for complete membership: %w", err)
	}
	accepted, err := fleet.Apply(fleet.VMs[0], fleet.Topology.SetupNote("setup", fleet.TargetConfigs()))
	if err != nil {
		return err
	}
	if err := fleet.awaitReady(func() bool { return fleet.InForce(accepted.Release, fleet.VMs...) }); err != nil {
		return fmt.Errorf("wait for the setup release to be in force: %w", err)
	}
	return nil
}

// membershipComplete reports whether every entry VM knows all entry VMs of the fleet.
func (fleet *Fleet) membershipComplete() bool {
	for _, vm := range fleet.VMs {
		status, err := vm.OperatorClient().Status(context.Background())
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

// InForce reports whether a release or a later one is in force on all of the given entry VMs.
func (fleet *Fleet) InForce(number int64, vms ...*VM) bool {
	for _, vm := range vms {
		if vm.Release() < number {
			return false
		}
	}
	return true
}

// Release returns the number of the release in force on an entry VM, 0 if its operator interface does not answer.
func (vm *VM) Release() int64 {
	status, err := vm.OperatorClient().Status(context.Background())
	if err != nil {
		return 0
	}
	return status.Release
}

// WriteNote writes a release note as YAML, for a load plan to name, and returns its path.
func (fleet *Fleet) WriteNote(note release.Note) (string, error) {
	return fleet.writeYAML("note-"+note.ID+".yaml", note)
}
