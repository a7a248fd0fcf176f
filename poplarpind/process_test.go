package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

const (
	memoryMB     = 184 // of the smallest VM
	startTimeout = 30 * time.Second
)

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "poplarpind")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// process is a running entry VM.
type process struct {
	command *exec.Cmd
	url     string
	peerURL string // serves dumps and the VM's state
	exited  chan struct{}
	platformtest.Addresses
}

// startProcess starts an entry VM with the memory of the smallest one and waits until it is ready.
func startProcess(t *testing.T, binary string, store *platformtest.Store) *process {
	t.Helper()
	return startVM(t, binary, platformtest.Process{VM: "vm-a1", StoreAddress: store.Address()})
}

// startVM is startProcess for one of several VMs, which the given fields tell apart; it is in failure domain a by default.
func startVM(t *testing.T, binary string, vm platformtest.Process) *process {
	t.Helper()
	addresses, err := platformtest.FreeAddresses()
	assert.NilError(t, err)
	if vm.FailureDomain == "" {
		vm.FailureDomain = "a"
	}
	vm.Addresses = addresses
	if vm.MemoryMB == 0 {
		vm.MemoryMB = memoryMB
	}
	vm.Bounds.RetryRatio, vm.Bounds.RetrySlack = 0.2, 50
	data := vm.Settings(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	command := exec.Command(binary)
	command.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
	started := &process{command: command, url: "http://" + addresses.Clients, peerURL: "http://" + addresses.Peers, exited: make(chan struct{}),
		Addresses: addresses}
	return started.start(t, "http://"+addresses.Ready+platformtest.ReadyPath)
}

func (process *process) start(t *testing.T, readyURL string) *process {
	t.Helper()
	assert.NilError(t, process.command.Start())
	go func() { _ = process.command.Wait(); close(process.exited) }()
	t.Cleanup(func() { _ = process.command.Process.Signal(syscall.SIGKILL); <-process.exited })
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(readyURL)
		if err != nil {
			continue // not listening yet
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return process
		}
	}
	t.Fatal("the process is not ready")
	return nil
}

func (process *process) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	assert.NilError(t, process.command.Process.Signal(signal))
}

// waitFor waits until the process has ended by itself, and kills it at the given time.
func (process *process) waitFor(t *testing.T, killAt time.Time) {
	t.Helper()
	select {
	case <-process.exited:
	case <-time.After(time.Until(killAt)):
		_ = process.command.Process.Signal(syscall.SIGKILL)
		<-process.exited
	}
	assert.Equal(t, process.command.ProcessState.ExitCode(), 0)
}

// pause stops the process and waits until none of its threads runs: the signal is sent before they have stopped.
func (process *process) pause(t *testing.T) {
	t.Helper()
	process.signal(t, syscall.SIGSTOP)
	for deadline := time.Now().Add(startTimeout); !process.isPaused(t); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the process has not stopped")
	}
}

// isPaused reports whether all threads of the process are stopped.
func (process *process) isPaused(t *testing.T) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", process.command.Process.Pid))
	assert.NilError(t, err)
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		assert.NilError(t, err)
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// get returns the body of the process's response on its address for other VMs.
func (process *process) get(t *testing.T, path string) string {
	t.Helper()
	response, err := http.Get(process.peerURL + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !reached(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// peakMemoryMB returns the largest resident memory that the process has had.
func (process *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	assert.NilError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			peakKB, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			assert.NilError(t, err)
			return peakKB >> 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}
