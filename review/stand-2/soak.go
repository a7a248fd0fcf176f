package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var cases = map[string]func(string){"soak": soak}

// attempt is one client attempt.
type attempt struct {
	id, method, uri, body string
	once                  bool
	gather                bool
	machine               *machine
	sent                  time.Time
	status                int
	stamps                []string
	answer                string
	note                  string
}

func config(version int, changed bool) map[string]any {
	shards := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	services := []map[string]any{{"name": "one", "health_path": "/health", "max_conns": 50}, {"name": "two", "health_path": "/health", "max_conns": 50}}
	for _, shard := range shards {
		services = append(services, map[string]any{"name": shard, "health_path": "/health", "max_conns": 25})
	}
	single := "one"
	if changed {
		single = "two"
	}
	return map[string]any{"version": version, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{
			{"name": "r-once", "host": "h.example", "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": single, "attempts": 3},
			{"name": "r-many", "host": "h.example", "path_prefix": "/many/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": single, "attempts": 2},
			{"name": "r-all", "host": "h.example", "path_prefix": "/all/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "gather": shards, "attempts": 2, "top_k": 20, "min_coverage": 0.5},
		}}
}

func soak(dir string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	if seconds == 0 {
		seconds = 30
	}
	random := rand.New(rand.NewPCG(seed, 7))
	world := newWorld(dir, "a", "a", "b", "c")
	runs := &runs{byID: map[string][]run{}}
	var bad atomic.Int64 // in 1000: share of troubled acts
	decide := func(request *http.Request) (act, time.Duration) {
		delay := time.Duration(1+rand.IntN(20)) * time.Millisecond
		if rand.IntN(30) == 0 {
			delay = time.Duration(rand.IntN(1500)) * time.Millisecond
		}
		if int64(rand.IntN(1000)) < bad.Load() {
			return act(1 + rand.IntN(8)), delay
		}
		return answer, delay
	}
	next := 0
	var serversMu sync.Mutex
	start := func(service, zone, address string) *server {
		next++
		server := world.startServer(fmt.Sprintf("i-%04d", next), service, zone, address, runs)
		server.decide = decide
		if strings.HasPrefix(service, "s") {
			server.body = func(id string) []byte { return fmt.Appendf(nil, "%-16.16s", server.id+id) }
		}
		return server
	}
	for _, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"one", "one", "two"} {
			world.servers = append(world.servers, start(service, zone, "127.0.0.1:0"))
		}
	}
	for i := 0; i < 6; i++ {
		for _, zone := range []string{"a", "b"} {
			world.servers = append(world.servers, start(fmt.Sprintf("s%d", i), zone, "127.0.0.1:0"))
		}
	}
	world.store.put("config", "main", config(1, false))
	world.startAll()
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var mu sync.Mutex
	var attempts []*attempt
	var broken []string
	breaks := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		line := fmt.Sprintf(format, args...)
		broken = append(broken, line)
		world.record.log("BROKEN: %s", line)
	}
	expected := map[*machine]bool{} // the process was told to end
	frozen := map[*machine]time.Time{}
	var clients sync.WaitGroup
	for i := 0; i < 24; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(until); n++ {
				machine := world.machines[rand.IntN(len(world.machines))]
				conn, err := net.DialTimeout("tcp", machine.front, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for k := 0; k < 20 && time.Now().Before(until); k++ {
					kind := rand.IntN(4)
					tried := &attempt{id: fmt.Sprintf("%x-%x-%x", i, n, k), method: "POST", machine: machine}
					body := bytes.Repeat([]byte(tried.id+"|"), 1+rand.IntN(10))
					if rand.IntN(10) == 0 {
						body = bytes.Repeat([]byte(tried.id+"|"), 20000/len(tried.id))
					}
					if rand.IntN(40) == 0 {
						body = bytes.Repeat([]byte(tried.id+"|"), 250000/(len(tried.id)+1))
					}
					switch kind {
					case 0, 1:
						tried.uri, tried.once = "/once/x?q="+tried.id, true
					case 2:
						tried.uri = "/many/x?q=" + tried.id
					default:
						tried.uri, tried.gather = "/all/x?q="+tried.id, true
					}
					if !tried.once && rand.IntN(2) == 0 {
						tried.method, body = "GET", nil
					}
					tried.body, tried.sent = digest(body), time.Now()
					deadline := 300 + rand.IntN(2500)
					var text bytes.Buffer
					fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", tried.method, tried.uri, tried.id, deadline)
					if tried.method == "POST" && rand.IntN(3) == 0 {
						text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
						for rest := body; len(rest) > 0; {
							size := min(len(rest), 1+rand.IntN(5000))
							fmt.Fprintf(&text, "%x\r\n%s\r\n", size, rest[:size])
							rest = rest[size:]
						}
						text.WriteString("0\r\n\r\n")
					} else {
						if tried.method == "POST" {
							fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
						}
						text.WriteString("\r\n")
						text.Write(body)
					}
					mu.Lock()
					attempts = append(attempts, tried)
					mu.Unlock()
					wait := time.Duration(deadline) * time.Millisecond
					if rand.IntN(30) == 0 {
						wait = time.Duration(rand.IntN(200)) * time.Millisecond // the client leaves early
						tried.note = "left early"
					}
					_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
					if _, err := conn.Write(text.Bytes()); err != nil {
						tried.note = "write " + err.Error()
						break
					}
					limit := wait
					if tried.note == "" {
						limit = wait + 3*time.Second
					}
					_ = conn.SetReadDeadline(time.Now().Add(limit))
					request := &http.Request{Method: tried.method}
					response, err := http.ReadResponse(reader, request)
					if err != nil {
						if tried.note == "" {
							tried.note = "read " + err.Error()
							world.record.log("no answer to %s %s from %s sent %s ago, deadline %d ms, %d runs: %s", tried.id, tried.uri, machine.name, time.Since(tried.sent), deadline, len(runs.of(tried.id)), err)
						}
						break
					}
					data, err := io.ReadAll(response.Body)
					if err != nil {
						tried.note = "body " + err.Error()
						break
					}
					took := time.Since(tried.sent)
					mu.Lock()
					tried.status, tried.answer = response.StatusCode, string(data)
					for _, value := range append(response.Header.Values("X-Part-Stamps"), response.Header.Values("X-Server-Stamp")...) {
						for _, stamp := range strings.Split(value, ",") {
							tried.stamps = append(tried.stamps, strings.TrimSpace(stamp))
						}
					}
					mu.Unlock()
					world.record.log("answer %s from %s: %d %v %.40q after %s", tried.id, machine.name, tried.status, tried.stamps, data, took)
					check(breaks, runs, tried, response)
					if reader.Buffered() > 0 {
						breaks("MIXED: bytes after the answer to %s", tried.id)
					}
					if response.Close {
						break
					}
					if rand.IntN(8) == 0 {
						time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
					}
				}
				_ = conn.Close()
			}
		}()
	}
	version, changed := 1, false
	for world.trouble && time.Now().Before(until.Add(-7*time.Second)) {
		time.Sleep(time.Duration(100+random.IntN(1200)) * time.Millisecond)
		machine := world.machines[random.IntN(len(world.machines))]
		if machine.hasEnded() && !expected[machine] {
			breaks("CRASH: %s ended by itself: %s", machine.name, machine.end())
		}
		switch trouble := random.IntN(10); trouble {
		case 0:
			world.record.log("kill %s", machine.name)
			machine.signal(syscall.SIGKILL)
			time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
			machine.start(false)
		case 1:
			world.record.log("term %s", machine.name)
			machine.signal(syscall.SIGTERM)
			expected[machine] = true
			until := time.Now().Add(7 * time.Second)
			for !machine.hasEnded() && time.Now().Before(until) {
				time.Sleep(20 * time.Millisecond)
			}
			if !machine.hasEnded() {
				breaks("HANG: %s has not ended 7 s after SIGTERM", machine.name)
				machine.signal(syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
			}
			expected[machine] = false
			machine.start(false)
		case 2, 3:
			pause := time.Duration(100+random.IntN(4000)) * time.Millisecond
			world.record.log("freeze %s for %s", machine.name, pause)
			machine.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			machine.signal(syscall.SIGCONT)
			mu.Lock()
			frozen[machine] = time.Now()
			mu.Unlock()
		case 4:
			world.record.log("hup %s", machine.name)
			if machine.isReady() {
				machine.signal(syscall.SIGHUP)
			}
		case 5:
			version += 1 + random.IntN(3)
			changed = !changed
			world.record.log("configuration %d", version)
			world.store.put("config", "main", config(version, changed))
		case 6:
			serversMu.Lock()
			i := random.IntN(len(world.servers))
			old := world.servers[i]
			world.record.log("crash server %s", old.id)
			old.crash()
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			address := "127.0.0.1:0"
			world.servers[i] = start(old.service, old.zone, address)
			serversMu.Unlock()
		case 7:
			bad.Store(int64([]int{0, 20, 100, 300}[random.IntN(4)]))
			world.record.log("bad acts %d", bad.Load())
		case 8:
			serversMu.Lock()
			i := random.IntN(len(world.servers))
			old := world.servers[i]
			world.record.log("drain server %s", old.id)
			old.draining.Store(true)
			old.beat()
			world.servers[i] = start(old.service, old.zone, "127.0.0.1:0")
			serversMu.Unlock()
			time.AfterFunc(4*time.Second, func() {
				old.crash()
				world.store.put("servers", old.id, nil)
			})
		case 9:
			world.record.log("stop two at once")
			other := world.machines[random.IntN(len(world.machines))]
			machine.signal(syscall.SIGSTOP)
			other.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			machine.signal(syscall.SIGCONT)
			other.signal(syscall.SIGCONT)
		}
	}
	clients.Wait()
	time.Sleep(2500 * time.Millisecond)
	sent, counts, notes := map[string]*attempt{}, map[int]int{}, map[string]int{}
	for _, tried := range attempts {
		sent[tried.id] = tried
		counts[tried.status]++
		if tried.note != "" {
			notes[tried.note[:min(len(tried.note), 30)]]++
		}
	}
	for id, all := range runs.byID {
		tried := sent[id]
		if tried == nil {
			breaks("UNASKED: %s was run and not sent", id)
			continue
		}
		for _, run := range all {
			if run.method != tried.method || run.uri != tried.uri || run.body != tried.body {
				breaks("UNASKED: %s was sent as %s %s %s and run as %s %s %s", id, tried.method, tried.uri, tried.body, run.method, run.uri, run.body)
			}
		}
		if tried.once && len(all) > 1 {
			breaks("TWICE: %s ran %d times", id, len(all))
		}
		if tried.once && (tried.status == 503 || tried.status == 429 || tried.status == 408 || tried.status == 421) {
			breaks("REFUSED: %s was answered %d and has run at %s", id, tried.status, all[0].server.id)
		}
	}
	for _, machine := range world.machines {
		if machine.hasEnded() {
			breaks("CRASH: %s has ended: %s", machine.name, machine.end())
		}
	}
	world.finish(broken, fmt.Sprintf("soak seed %d: %d attempts, statuses %v, notes %v", seed, len(attempts), counts, notes))
}

func check(breaks func(string, ...any), runs *runs, tried *attempt, response *http.Response) {
	if tried.status/100 != 2 {
		return
	}
	if len(tried.stamps) == 0 {
		breaks("MIXED: %s got %d without a stamp", tried.id, tried.status)
	}
	known := map[string]run{}
	for _, run := range runs.of(tried.id) {
		known[run.stamp] = run
	}
	services := map[string]bool{}
	for _, stamp := range tried.stamps {
		run, ok := known[stamp]
		if !ok {
			breaks("MIXED: %s got the stamp %s, which is no answer to it", tried.id, stamp)
			continue
		}
		if services[run.server.service] {
			breaks("MIXED: %s got two parts of %s", tried.id, run.server.service)
		}
		services[run.server.service] = true
		if !tried.gather && !strings.Contains(tried.answer, tried.id) {
			breaks("MIXED: %s got the body %q", tried.id, tried.answer)
		}
	}
	if tried.gather {
		missing, _ := strconv.Atoi(response.Header.Get("X-Missing-Parts"))
		if len(services)+missing != 6 || len(services) < 3 {
			breaks("MIXED: %s has %d parts and %d missing", tried.id, len(services), missing)
		}
		if len(tried.answer) != 16*len(services) {
			breaks("MIXED: %s has %d bytes of %d parts", tried.id, len(tried.answer), len(services))
		}
	}
}
