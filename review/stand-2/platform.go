package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %s", err)
	}
	return &record{file: file, started: time.Now()}
}

func (record *record) log(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%9.3f %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the program: the case could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	killAll()
	os.Exit(2)
}

// object is an object of the store.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind    string
	object  object
	deleted bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	era      int64
	down     bool
	conns    []*storeConn
	floor    int64                    // history up to it is gone
	slow     time.Duration            // each answer takes so much longer
	mute     map[string]bool          // addresses at which calls get no answer
	answered map[string]chan struct{} // by kind and address: closed at the next answer to a watch
}

func newStore() *store {
	store := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), answered: map[string]chan struct{}{}}
	return store
}

// listen returns a further address of the store.
func (store *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %s", err)
	}
	go func() { _ = (&http.Server{Handler: store, ConnContext: store.withConn}).Serve(listener) }()
	return listener.Addr().String()
}

// put writes an object as the operator or a server would; a nil spec deletes it.
func (store *store) put(kind, name string, spec any) {
	data, _ := json.Marshal(spec)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.write(kind, name, data, spec == nil)
}

func (store *store) write(kind, name string, spec json.RawMessage, deleted bool) object {
	known, ok := store.objects[kind][name]
	if ok && !deleted && string(known.Spec) == string(spec) {
		return known
	}
	if deleted && !ok {
		return known
	}
	store.revision++
	written := object{Meta: meta{Name: name, Revision: store.revision, Created: store.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		written.Meta.Created = known.Meta.Created
	}
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]object{}
	}
	if deleted {
		written.Spec = known.Spec
		delete(store.objects[kind], name)
	} else {
		store.objects[kind][name] = written
	}
	store.events = append(store.events, event{kind, written, deleted})
	close(store.changed)
	store.changed = make(chan struct{})
	return written
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path, _ := strings.CutPrefix(request.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	query := request.URL.Query()
	if holdIfSilent(request) || store.holdIfMute(request) {
		return
	}
	store.mu.Lock()
	down, era := store.down, store.era
	store.mu.Unlock()
	if era > 0 {
		writer.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	if down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if request.Method == http.MethodGet && name == "" && query.Has("watch") {
		store.watch(writer, request, kind)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	known, ok := store.objects[kind][name]
	var sent object
	if request.Method == http.MethodPost || request.Method == http.MethodPut {
		data, _ := io.ReadAll(request.Body)
		if json.Unmarshal(data, &sent) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	revision := sent.Meta.Revision
	if text := query.Get("revision"); text != "" {
		revision, _ = strconv.ParseInt(text, 10, 64)
	}
	switch request.Method {
	case http.MethodGet:
		if name != "" {
			if !ok {
				writer.WriteHeader(http.StatusNotFound)
				return
			}
			reply(writer, http.StatusOK, known)
			return
		}
		store.list(writer, kind, query.Get("after"))
	case http.MethodPost:
		if existing, ok := store.objects[kind][sent.Meta.Name]; ok {
			reply(writer, http.StatusConflict, existing)
			return
		}
		reply(writer, http.StatusOK, store.write(kind, sent.Meta.Name, sent.Spec, false))
	case http.MethodPut, http.MethodDelete:
		switch {
		case !ok:
			writer.WriteHeader(http.StatusNotFound)
		case revision > 0 && revision != known.Meta.Revision:
			reply(writer, http.StatusConflict, known)
		default:
			reply(writer, http.StatusOK, store.write(kind, name, sent.Spec, request.Method == http.MethodDelete))
		}
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	var names []string
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, store.objects[kind][name])
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "more": more, "read_revision": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	since, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	store.mu.Lock()
	era := store.era
	store.mu.Unlock()
	for ended := false; ; {
		store.mu.Lock()
		if store.down || store.era != era {
			store.mu.Unlock()
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if since > store.revision || since < store.floor {
			store.mu.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, event := range store.events {
			if event.kind == kind && event.object.Meta.Revision > since {
				events = append(events, map[string]any{"object": event.object, "deleted": event.deleted})
			}
		}
		revision, changed := store.revision, store.changed
		store.mu.Unlock()
		if holdIfSilent(request) || store.holdIfMute(request) {
			return
		}
		if len(events) > 0 || ended {
			defer store.noteAnswer(kind, request)
			reply(writer, http.StatusOK, map[string]any{"events": events, "read_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

// noteAnswer records that a watch has been answered.
func (store *store) noteAnswer(kind string, request *http.Request) {
	conn := request.Context().Value(storeConnKey{}).(*storeConn)
	store.mu.Lock()
	defer store.mu.Unlock()
	key := kind + " " + conn.machine
	if answered, ok := store.answered[key]; ok {
		close(answered)
		delete(store.answered, key)
	}
}

// awaitAnswer makes a change and waits until a machine's watch of a kind has been answered.
func (store *store) awaitAnswer(kind, machine string, change func()) {
	answered := make(chan struct{})
	store.mu.Lock()
	store.answered[kind+" "+machine] = answered
	store.mu.Unlock()
	change()
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		fail("no watch of %s was answered to %s", kind, machine)
	}
}

// machine is an entry machine with the process that runs on it.
type machine struct {
	world    *world
	name     string
	zone     string
	ip       string
	memoryMB int
	dir      string
	front    string
	ready    string
	control  string
	store    string // the address at which it reaches the store
	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	state    *os.ProcessState
	starts   int
}

var (
	processesMu sync.Mutex
	processes   = map[int]*os.Process{} // that this program started and that have not ended
)

// killAll ends the processes that this program started.
func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, process := range processes {
		_ = process.Signal(syscall.SIGCONT)
		_ = process.Kill()
	}
}

// settings returns the settings file that DEPLOY.md describes.
func (machine *machine) settings(bootstrap bool) []byte {
	zones := map[string]string{}
	var seeds []string
	for _, other := range machine.world.machines {
		zones[other.zone] = "region-1"
		if len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
	}
	data, _ := json.MarshalIndent(map[string]any{
		"node": machine.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": machine.ip, "zone": machine.zone, "region": "region-1", "zones": zones,
		"listen_addrs":        map[string]string{"front": machine.front, "ready": machine.ready, "control": machine.control},
		"internal_port_range": []int{machine.world.port + 3, machine.world.port + 18},
		"seeds":               seeds, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": machine.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000,
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "outer_ms": 12000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 52, "recovery_s": 12},
		"platform": map[string]any{"address": machine.store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"max_value_bytes": 1048576, "min_ttl_ms": 1000},
	}, "", "  ")
	return data
}

// start starts the process with the run line of the deploy file.
func (machine *machine) start(bootstrap bool) {
	path := filepath.Join(machine.dir, "boot.json")
	if err := os.WriteFile(path, machine.settings(bootstrap), 0o644); err != nil {
		fail("settings: %s", err)
	}
	log, err := os.OpenFile(filepath.Join(machine.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("log: %s", err)
	}
	defer log.Close()
	program := os.Getenv("PROGRAM")
	if program == "" {
		program = filepath.Join(machine.world.root, "target/poplarpind")
	}
	process := exec.Command(program)
	process.Dir = machine.world.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", "POPLARPIN_NODE_FILE=" + path}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		fail("start: %s", err)
	}
	processesMu.Lock()
	processes[process.Process.Pid] = process.Process
	processesMu.Unlock()
	ended := make(chan struct{})
	machine.mu.Lock()
	machine.process, machine.ended = process, ended
	machine.starts++
	machine.mu.Unlock()
	go func() {
		_ = process.Wait()
		processesMu.Lock()
		delete(processes, process.Process.Pid)
		processesMu.Unlock()
		machine.mu.Lock()
		machine.state = process.ProcessState
		machine.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the process.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mu.Lock()
	process := machine.process
	machine.mu.Unlock()
	_ = process.Process.Signal(signal)
}

// hasEnded reports whether the process has ended.
func (machine *machine) hasEnded() bool {
	machine.mu.Lock()
	ended := machine.ended
	machine.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// end returns how the process ended.
func (machine *machine) end() string {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.state.String()
}

// isReady asks the ready address once.
func (machine *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + machine.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (machine *machine) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if machine.isReady() {
			return true
		}
	}
	return false
}

// residentMB returns the resident memory of the process in MB, 0 if it has ended.
func (machine *machine) residentMB() float64 {
	machine.mu.Lock()
	pid := machine.process.Process.Pid
	machine.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// world is a small deployment.
type world struct {
	root     string
	dir      string
	record   *record
	store    *store
	machines []*machine
	servers  []*server
	port     int
	trouble  bool
}

// newWorld returns a deployment with machines in the given zones.
func newWorld(caseDir string, zones ...string) *world {
	root, err := os.Getwd()
	if err != nil {
		fail("%s", err)
	}
	dir, err := os.MkdirTemp("", "poplarpin-review-")
	if err != nil {
		fail("%s", err)
	}
	world := &world{root: root, dir: dir, record: newRecord(filepath.Join(caseDir, "record.txt")), store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	world.choosePorts(len(zones))
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.%d.%d", 20+world.port%200, i+1)
		machine := &machine{world: world, name: fmt.Sprintf("front-%s-%d", zone, i+1), store: world.store.listen(), zone: zone, ip: ip, memoryMB: 284, dir: filepath.Join(dir, strconv.Itoa(i)),
			front: fmt.Sprintf("%s:%d", ip, world.port), ready: fmt.Sprintf("%s:%d", ip, world.port+1), control: fmt.Sprintf("%s:%d", ip, world.port+2)}
		_ = os.MkdirAll(machine.dir, 0o755)
		world.machines = append(world.machines, machine)
	}
	return world
}

// choosePorts finds ports that are free on the machines' addresses.
func (world *world) choosePorts(machines int) {
	for world.port = 20000 + os.Getpid()%9000; ; world.port += 23 {
		free := true
		for i := 0; free && i < machines; i++ {
			for offset := 0; free && offset < 4; offset++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", 20+world.port%200, i+1, world.port+offset))
				if free = err == nil; free {
					_ = listener.Close()
				}
			}
		}
		if free {
			return
		}
		if world.port > 31000 {
			fail("no free ports")
		}
	}
}

// startAll starts all machines and waits until they are ready.
func (world *world) startAll() {
	for _, machine := range world.machines {
		machine.start(true)
	}
	for _, machine := range world.machines {
		if !machine.awaitReady(10 * time.Second) {
			fail("%s is not ready after 10 s; its log is in %s", machine.name, machine.dir)
		}
	}
}

// finish ends all processes, prints the verdict and exits.
func (world *world) finish(broken []string, summary string) {
	killAll()
	world.record.log("summary: %s", summary)
	for _, line := range broken {
		world.record.log("BROKEN: %s", line)
	}
	_ = world.record.file.Close()
	fmt.Println(summary)
	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(broken), broken[0])
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(world.dir)
		}
		os.Exit(1)
	}
	fmt.Println("the rule held")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(world.dir)
	}
	os.Exit(0)
}
