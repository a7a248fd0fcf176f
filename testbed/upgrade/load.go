package upgrade

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarpin.dev/platform/platformtest"
)

const (
	clientTimeout = 1500 * time.Millisecond
	lateAfter     = 400 * time.Millisecond
)

// requestKind is a kind of request of the load.
type requestKind struct {
	name      string
	method    string
	path      string
	key       string // of a client account
	interval  time.Duration
	once      bool // not idempotent
	fromAdded bool // sent only once all VMs have the added route
}

// kinds are the requests of the load; the account with a quota sends twice that.
var kinds = []requestKind{
	{name: "gather", method: http.MethodGet, path: "/g/x", interval: 20 * time.Millisecond, key: freeKey},
	{name: "once", method: http.MethodPost, path: "/o/x", interval: 20 * time.Millisecond, once: true, key: freeKey},
	{name: "quota", method: http.MethodGet, path: "/q/x", interval: time.Second / (2 * quotaPerSecond), key: quotaKey},
	{name: "added", method: http.MethodGet, path: "/n/x", interval: 100 * time.Millisecond, fromAdded: true, key: freeKey},
}

// request is one request of the load and how it ended.
type request struct {
	kind     *requestKind
	phase    string
	id       string
	vm       *vm
	program  string            // that ran on the VM when the request was sent
	programs map[string]string // the same for all VMs, by name
	started  time.Time
	latency  time.Duration
	status   int      // 0 if there was no complete answer
	targets  []string // that the answer names
	missing  string   // parts that the answer lacks, as its header says
	body     string
	foreign  bool // an answer with a signature of another request
	cut      bool // the connection ended without an answer while the VM was being stopped
	timedOut bool
}

// load sends requests at fixed rates to the VMs that are ready, without waiting for earlier answers.
type load struct {
	t        platformtest.T
	vms      []*vm
	random   *rand.Rand
	phase    atomic.Pointer[string]
	added    atomic.Bool // all VMs have the added route
	sending  sync.WaitGroup
	mu       sync.Mutex
	requests []*request
}

func (load *load) setPhase(name string) { load.phase.Store(&name) }

// run sends requests until done is closed, and waits for the answers.
func (load *load) run(done <-chan struct{}) {
	var loops sync.WaitGroup
	for i := range kinds {
		random := rand.New(rand.NewPCG(load.random.Uint64(), load.random.Uint64()))
		loops.Go(func() { load.sendAll(&kinds[i], random, done) })
	}
	loops.Wait()
	load.sending.Wait()
}

func (load *load) sendAll(kind *requestKind, random *rand.Rand, done <-chan struct{}) {
	ticker := time.NewTicker(kind.interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if kind.fromAdded && !load.added.Load() {
			continue
		}
		var ready []*vm
		for _, vm := range load.vms {
			if vm.ready.Load() {
				ready = append(ready, vm)
			}
		}
		if len(ready) == 0 {
			continue
		}
		vm := ready[random.IntN(len(ready))]
		request := &request{kind: kind, phase: *load.phase.Load(), vm: vm, program: *vm.program.Load(), programs: load.programs(), started: time.Now()}
		load.sending.Go(func() {
			load.send(request)
			load.mu.Lock()
			load.requests = append(load.requests, request)
			load.mu.Unlock()
		})
	}
}

// programs returns the programs that run now, by VM.
func (load *load) programs() map[string]string {
	programs := map[string]string{}
	for _, vm := range load.vms {
		programs[vm.VM] = *vm.program.Load()
	}
	return programs
}

func (load *load) send(request *request) {
	kind := request.kind
	message := platformtest.NewRequest(load.t, kind.method, "http://"+request.vm.Clients+kind.path, []byte("body"))
	platformtest.SetTimeout(message, clientTimeout)
	platformtest.SetKey(message, kind.key)
	request.id = platformtest.RequestID(message)
	client := *request.vm.client
	client.Timeout = clientTimeout
	response, err := client.Do(message)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		request.body = string(body)
	}
	request.latency = time.Since(request.started)
	if err != nil {
		var netError net.Error
		var opError *net.OpError
		request.timedOut = errors.As(err, &netError) && netError.Timeout()
		notConnected := errors.As(err, &opError) && opError.Op == "dial"
		request.cut = request.vm.stopping.Load() && !request.timedOut && !notConnected
		return
	}
	request.status = response.StatusCode
	if request.served() {
		var own bool
		request.targets, own = platformtest.SignedParts(response, request.id)
		request.foreign, request.missing = !own, platformtest.MissingParts(response)
	}
}

func (request *request) served() bool { return request.status >= 200 && request.status < 300 }

// refused reports whether the answer promises that the request has not run.
func (request *request) refused() bool { return platformtest.PromisesNotRun(request.status) }
