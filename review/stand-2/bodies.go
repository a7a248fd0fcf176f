package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = bodies }

func envInt(name string, standard int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return standard
}

func bodies(dir string) {
	shards := envInt("SHARDS", 20)
	zones := []string{"a", "a", "b", "c"}
	world := newWorld(dir, zones...)
	runs := &runs{byID: map[string][]run{}}
	var names []string
	services := []map[string]any{}
	slow := envInt("SLOW", 0)
	for i := 0; i < shards; i++ {
		name := fmt.Sprintf("s%02d", i)
		names = append(names, name)
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 25})
		for k, zone := range []string{"a", "b"} {
			server := world.startServer(fmt.Sprintf("i-%d-%d", i, k), name, zone, "127.0.0.1:0", runs)
			server.body = func(id string) []byte { return make([]byte, 400) }
			server.decide = func(*http.Request) (act, time.Duration) {
				return answer, time.Duration(28+slow) * time.Millisecond
			}
		}
	}
	world.store.put("config", "main", map[string]any{"version": 1, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{{"name": "r-all", "host": "h.example", "path_prefix": "/all/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1,
			"gather": names, "attempts": 2, "top_k": 20, "min_coverage": 0.89}}})
	world.startAll()
	until := time.Now().Add(time.Duration(envInt("SECONDS", 10)) * time.Second)
	var clients sync.WaitGroup
	var counts sync.Map
	size := envInt("BODY", 262144)
	only := envInt("ONLY", -1)
	for i := 0; i < envInt("CLIENTS", 40); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(until); n++ {
				machine := world.machines[i%len(world.machines)]
				if only >= 0 {
					machine = world.machines[only]
				}
				conn, err := net.DialTimeout("tcp", machine.front, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for k := 0; time.Now().Before(until); k++ {
					var text bytes.Buffer
					fmt.Fprintf(&text, "POST /all/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %d-%d-%d\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", i, n, k, size)
					text.Write(make([]byte, size))
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					if _, err := conn.Write(text.Bytes()); err != nil {
						break
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, response.Body)
					counter, _ := counts.LoadOrStore(response.StatusCode, &atomic.Int64{})
					counter.(*atomic.Int64).Add(1)
					if response.StatusCode != 200 {
						time.Sleep(50 * time.Millisecond)
					}
				}
				_ = conn.Close()
			}
		}()
	}
	peak := make([]float64, len(world.machines))
	go func() {
		for {
			for i, machine := range world.machines {
				peak[i] = max(peak[i], machine.residentMB())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	clients.Wait()
	text := ""
	counts.Range(func(key, value any) bool {
		text += fmt.Sprintf("%v: %d ", key, value.(*atomic.Int64).Load())
		return true
	})
	world.finish(nil, fmt.Sprintf("peak MB %.0f, answers %s", peak, text))
}
