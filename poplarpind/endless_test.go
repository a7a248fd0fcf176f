package main_test

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

const (
	memoryMB       = 184 // of the smallest VM
	shards         = 50
	endlessTargets = 10
	requestPause   = 30 * time.Millisecond
	startTimeout   = 30 * time.Second
)

var loadTime = flag.Duration("load", 2*time.Second, "duration of the load on real processes")

// TestEndlessTargets guards against a VM that a few targets take down by sending bytes that are no answer without end: a real process
// with the memory of the smallest VM serves an open-loop load meanwhile, and its answers lack no part but those that nobody else has.
func TestEndlessTargets(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "poplarpind")
	output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	t.Run("ten of a hundred targets", func(t *testing.T) {
		play(t, binary, "0", func(shard, replica int) bool { return replica == 0 && shard < endlessTargets })
	})
	t.Run("all replicas of one shard", func(t *testing.T) {
		play(t, binary, "1", func(shard, _ int) bool { return shard == 0 })
	})
}

// play serves a load on a process of which some targets send without end, and checks the answers and the memory of the process.
func play(t *testing.T, binary, wantMissing string, isEndless func(shard, replica int) bool) {
	t.Helper()
	store := platformtest.NewStore(t)
	responses := platformtest.EndlessResponses()
	names := make([]string, shards)
	for shard := range shards {
		names[shard] = fmt.Sprintf("shard%d", shard)
		for replica := range 2 {
			id := fmt.Sprintf("%s-%d", names[shard], replica)
			if isEndless(shard, replica) {
				target := platformtest.NewEndlessTarget(t, responses[(shard+replica)%len(responses)], 0)
				store.Put("servers", id, platformtest.TargetSpec(names[shard], target.Address, "a", "ready"))
			} else {
				store.Put("servers", id, platformtest.NewTarget(t, id).Spec(names[shard], "a", "ready"))
			}
		}
	}
	store.Put("config", "main", platformtest.GatherConfig(names))
	process := startProcess(t, binary, store)
	var requests sync.WaitGroup
	for end := time.Now().Add(*loadTime); time.Now().Before(end); time.Sleep(requestPause) {
		requests.Go(func() {
			response, err := http.DefaultClient.Do(platformtest.NewRequest(t, http.MethodGet, process.url+"/g/x", nil))
			if !assert.Check(t, err) {
				return
			}
			defer response.Body.Close()
			assert.Check(t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode)
			assert.Check(t, platformtest.MissingParts(response) == wantMissing, "%s parts are missing", platformtest.MissingParts(response))
		})
	}
	requests.Wait()
	peak := process.peakMemoryMB(t)
	t.Logf("peak memory %d MB", peak)
	assert.Assert(t, peak < memoryMB)
}

// process is a running entry VM.
type process struct {
	command *exec.Cmd
	url     string
}

// startProcess starts an entry VM with the memory of the smallest one and waits until it is ready.
func startProcess(t *testing.T, binary string, store *platformtest.Store) *process {
	t.Helper()
	ports := freePorts(t, 4)
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	data := platformtest.ProcessSettings(t, store, platformtest.Addresses{Clients: address(0), Ready: address(1), Peers: address(2), InternalPort: ports[3]}, memoryMB)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "POPLARPIN_NODE_FILE="+path)
	started := &process{command: command, url: "http://" + address(0)}
	return started.start(t, "http://"+address(1)+"/ready")
}

func freePorts(t *testing.T, count int) []int {
	t.Helper()
	ports := make([]int, count)
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close() // only at the end, so that the ports differ
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports
}

func (process *process) start(t *testing.T, readyURL string) *process {
	t.Helper()
	assert.NilError(t, process.command.Start())
	exited := make(chan struct{})
	go func() { _ = process.command.Wait(); close(exited) }()
	t.Cleanup(func() { _ = process.command.Process.Signal(syscall.SIGKILL); <-exited })
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
