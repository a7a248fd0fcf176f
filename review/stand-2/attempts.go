package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["attempts"] = attemptsCase }

// attemptsCase: a machine freezes for a second, several times, while its requests are in flight. The check is the first rule BUDGET: no more than three
// requests of clients may run, in one client attempt, on more servers than their route's attempts.
func attemptsCase(dir string) {
	const allowed = 2 // attempts of the route
	world := newWorld(dir, "a", "a", "b", "c")
	runs := &runs{byID: map[string][]run{}}
	for i, zone := range []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"} {
		server := world.startServer(fmt.Sprintf("i-%d", i), "one", zone, "127.0.0.1:0", runs)
		server.decide = func(*http.Request) (act, time.Duration) { // as lab-ledger: 220 ms, spread 0.5, 1,300 ms at most
			work := 220 * math.Exp(0.5*rand.NormFloat64()-0.125)
			return answer, time.Duration(min(work, 1300) * float64(time.Millisecond))
		}
	}
	world.store.put("config", "main", map[string]any{"version": 1,
		"services": []map[string]any{{"name": "one", "health_path": "/health", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{{"name": "r-many", "host": "h.example", "path_prefix": "/many/", "kind": "idempotent", "timeout_ms": 8000, "target_latency_ms": 800,
			"priority": 2, "service": "one", "attempts": allowed}}})
	world.startAll()
	var clients sync.WaitGroup
	var sent atomic.Int64
	statuses := &sync.Map{}
	stop := make(chan struct{})
	for i := 0; i < envInt("CLIENTS", 40); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{}}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
				}
				machine := world.machines[0]
				if i%4 == 3 {
					machine = world.machines[1+rand.IntN(3)]
				}
				request, _ := http.NewRequest("GET", "http://"+machine.front+"/many/x", nil)
				request.Host = "h.example"
				request.Header.Set("X-Request-Id", fmt.Sprintf("%d-%d", i, k))
				request.Header.Set("X-Deadline-Ms", "8000")
				sent.Add(1)
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				world.record.log("answer %s from %s: %d", request.Header.Get("X-Request-Id"), machine.name, response.StatusCode)
				counter, _ := statuses.LoadOrStore(response.StatusCode, &atomic.Int64{})
				counter.(*atomic.Int64).Add(1)
			}
		}()
	}
	time.Sleep(8 * time.Second)
	frozen := world.machines[0]
	for n := 0; n < 12; n++ {
		if world.trouble {
			world.record.log("%s freezes", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(envInt("FREEZE", 1000)) * time.Millisecond)
			frozen.signal(syscall.SIGCONT)
			world.record.log("%s wakes", frozen.name)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	var broken []string
	extra := 0
	for id, all := range runs.byID {
		servers := map[string]bool{}
		for _, run := range all {
			servers[run.server.id] = true
		}
		if len(servers) > 1 {
			extra++
		}
		if len(servers) > allowed {
			broken = append(broken, fmt.Sprintf("BUDGET: request %s ran on %d servers, its route allows %d", id, len(servers), allowed))
		}
	}
	summary := fmt.Sprintf("%d requests, %d ran on more than one server, %d on more than %d", sent.Load(), extra, len(broken), allowed)
	statuses.Range(func(key, value any) bool {
		summary += fmt.Sprintf(", %v: %d", key, value.(*atomic.Int64).Load())
		return true
	})
	if len(broken) <= 3 {
		for _, line := range broken {
			world.record.log("within the rule's three: %s", line)
		}
		broken = nil
	}
	world.finish(broken, summary)
}
