package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silent }

// storeConn is a connection to the store.
type storeConn struct {
	silent  atomic.Bool // nothing is answered on it any more
	machine string      // the address of the store that it was opened to
}

type storeConnKey struct{}

// conns returns the function that http.Server calls for each new connection.
func (store *store) withConn(ctx context.Context, conn net.Conn) context.Context {
	known := &storeConn{machine: conn.LocalAddr().String()}
	store.mu.Lock()
	store.conns = append(store.conns, known)
	store.mu.Unlock()
	return context.WithValue(ctx, storeConnKey{}, known)
}

// silence lets all open connections go silent; new ones work.
func (store *store) silence() {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, conn := range store.conns {
		conn.silent.Store(true)
	}
}

// holdIfSilent keeps a request on a silent connection without an answer until the caller closes it, and reports whether it did.
func holdIfSilent(request *http.Request) bool {
	conn, ok := request.Context().Value(storeConnKey{}).(*storeConn)
	if !ok || !conn.silent.Load() {
		return false
	}
	<-request.Context().Done()
	return true
}

const (
	drainTime  = 3 * time.Second // drain_ms
	touchTime  = 4 * time.Second // stability_window_ms
	silentCase = "silent"
)

// silent: open connections to the store go silent while a machine without subscribers pauses between two watches of the servers; a server then
// reports that it is draining. The check is the rule DRAIN.
func silent(dir string) {
	world := newWorld(dir, "a", "a", "b")
	runs := &runs{byID: map[string][]run{}}
	for i := 0; i < 2; i++ {
		world.startServer(fmt.Sprintf("i-a%d", i), "one", "a", "127.0.0.1:0", runs)
		world.startServer(fmt.Sprintf("i-b%d", i), "one", "b", "127.0.0.1:0", runs)
	}
	leaving := world.startServer("i-leaving", "one", "b", "127.0.0.1:0", runs)
	other := world.startServer("i-other", "two", "b", "127.0.0.1:0", runs)
	world.store.put("config", "main", silentConfig(1))
	world.startAll()
	time.Sleep(6 * time.Second) // the machines are in touch, their connections settled
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 0; i < 6; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			machine := world.machines[i%len(world.machines)]
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				id := fmt.Sprintf("%d-%d", i, k)
				request, _ := http.NewRequest("GET", "http://"+machine.front+"/many/x", nil)
				request.Host = "h.example"
				request.Header.Set("X-Request-Id", id)
				request.Header.Set("X-Deadline-Ms", "8000")
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				response, err := client.Do(request)
				if err != nil {
					world.record.log("request %s to %s: %s", id, machine.name, err)
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				mu.Lock()
				statuses[response.StatusCode]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	alone := world.machines[2]
	world.store.awaitAnswer("servers", alone.store, func() {
		world.store.awaitAnswer("config", alone.store, func() {
			world.store.put("config", "main", silentConfig(2))
			other.moved()
		})
	})
	silentAt := time.Now()
	if world.trouble {
		world.store.silence()
		world.record.log("the open connections to the store are silent from now on")
	}
	time.Sleep(50 * time.Millisecond)
	leaving.draining.Store(true)
	leaving.beat()
	drained := time.Now()
	world.record.log("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	binds := drained.Add(drainTime)
	if touch := silentAt.Add(touchTime); world.trouble && touch.After(binds) {
		binds = touch
	}
	var broken []string
	last := time.Time{}
	runs.mu.Lock()
	for id, all := range runs.byID {
		for _, run := range all {
			if run.server != leaving {
				continue
			}
			if run.at.After(last) {
				last = run.at
			}
			if sent[id].After(binds) {
				broken = append(broken, fmt.Sprintf("DRAIN: request %s was sent %.3f s and reached %s %.3f s after it was acknowledged as draining, %.3f s after the connections went silent",
					id, sent[id].Sub(drained).Seconds(), leaving.id, run.at.Sub(drained).Seconds(), run.at.Sub(silentAt).Seconds()))
			}
		}
	}
	runs.mu.Unlock()
	world.finish(broken, fmt.Sprintf("answers %v; the last request reached the draining server %.3f s after the acknowledgement, %.3f s after the silence", statuses,
		last.Sub(drained).Seconds(), last.Sub(silentAt).Seconds()))
}

func silentConfig(version int) map[string]any {
	return map[string]any{"version": version,
		"services": []map[string]any{{"name": "one", "health_path": "/health", "max_conns": 96}, {"name": "two", "health_path": "/health", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{{"name": "r-many", "host": "h.example", "path_prefix": "/many/", "kind": "idempotent", "timeout_ms": 8000, "target_latency_ms": 800,
			"priority": 1, "service": "one", "attempts": 2}}}
}
