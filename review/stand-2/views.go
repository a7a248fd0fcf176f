package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["views"] = views }

// holdIfMute delays a call while the store is slow, and gives none an answer at an address at which the store is mute.
func (store *store) holdIfMute(request *http.Request) bool {
	conn, ok := request.Context().Value(storeConnKey{}).(*storeConn)
	store.mu.Lock()
	slow, mute := store.slow, ok && store.mute[conn.machine]
	store.mu.Unlock()
	time.Sleep(slow)
	if mute {
		conn.silent.Store(true) // a connection on which an answer is lost returns nothing further
		<-request.Context().Done()
	}
	return mute
}

// views: servers come and go while machines and the store are disturbed; afterwards no request may reach a server that has left.
func views(dir string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 11))
	world := newWorld(dir, "a", "a", "a", "b")
	world.store.mute = map[string]bool{}
	runs := &runs{byID: map[string][]run{}}
	n := 0
	start := func(zone string) *server {
		n++
		return world.startServer(fmt.Sprintf("i-%04d", n), "one", zone, "127.0.0.1:0", runs)
	}
	for _, zone := range []string{"a", "a", "a", "a", "b", "b", "b", "b"} {
		world.servers = append(world.servers, start(zone))
	}
	version, changed := 1, false
	service := func() string {
		if changed {
			return "r-two"
		}
		return "r-one"
	}
	write := func() {
		world.store.put("config", "main", map[string]any{"version": version,
			"services": []map[string]any{{"name": "one", "health_path": "/health", "max_conns": 96}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"routes": []map[string]any{{"name": service(), "host": "h.example", "path_prefix": "/" + service() + "/", "kind": "idempotent", "timeout_ms": 2000,
				"target_latency_ms": 200, "priority": 1, "service": "one", "attempts": 2}}})
	}
	write()
	world.startAll()
	var mu sync.Mutex
	var broken []string
	inForce := ""                     // route that must be there, "" while that is open
	checking := false                 // all machines are in touch
	removed := map[string]time.Time{} // by server
	var count atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := 0; i < 12; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &http.Client{Timeout: 3 * time.Second}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				machine := world.machines[i%4]
				id := fmt.Sprintf("%d-%d", i, k)
				mu.Lock()
				route, check := inForce, checking
				mu.Unlock()
				path := route
				if path == "" {
					path = []string{"r-one", "r-two"}[rand.IntN(2)]
				}
				request, _ := http.NewRequest("GET", "http://"+machine.front+"/"+path+"/x", nil)
				request.Host = "h.example"
				request.Header.Set("X-Request-Id", id)
				request.Header.Set("X-Deadline-Ms", "2000")
				sent := time.Now()
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				count.Add(1)
				mu.Lock()
				if check && checking && inForce == route {
					if route != "" && response.StatusCode == 404 {
						broken = append(broken, fmt.Sprintf("CONFIG: %s got 404 at %s for %s", id, machine.name, route))
						world.record.log("BROKEN %s", broken[len(broken)-1])
					}
					for _, run := range runs.of(id) {
						if at, ok := removed[run.server.id]; ok && sent.Sub(at) > drainTime {
							broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s through %s, %s after its removal", id, run.server.id, machine.name, run.at.Sub(at)))
							world.record.log("BROKEN %s", broken[len(broken)-1])
						}
					}
				}
				mu.Unlock()
			}
		}()
	}
	remove := func() {
		i := random.IntN(len(world.servers))
		old := world.servers[i]
		world.servers[i] = start(old.zone)
		old.gone.Store(true)
		world.store.put("servers", old.id, nil)
		mu.Lock()
		removed[old.id] = time.Now()
		mu.Unlock()
		world.record.log("%s left", old.id)
		time.AfterFunc(25*time.Second, old.crash)
	}
	until := time.Now().Add(time.Duration(envInt("SECONDS", 95)) * time.Second)
	for time.Now().Before(until) {
		var work sync.WaitGroup
		for k := 1 + random.IntN(4); k > 0; k-- {
			if random.IntN(2) == 0 {
				remove()
			}
			if random.IntN(4) == 0 {
				version, changed = version+1, !changed
				write()
			}
			kind, machine, length := random.IntN(8), world.machines[random.IntN(4)], time.Duration(100+random.IntN(2500))*time.Millisecond
			if !world.trouble {
				kind = -1
			}
			world.record.log("disruption %d of %s for %s", kind, machine.name, length)
			work.Add(1)
			go func() {
				defer work.Done()
				switch kind {
				case 0:
					machine.signal(syscall.SIGKILL)
					time.Sleep(300 * time.Millisecond)
					if machine.hasEnded() {
						machine.start(false)
					}
				case 1:
					machine.signal(syscall.SIGSTOP)
					time.Sleep(length)
					machine.signal(syscall.SIGCONT)
				case 2:
					world.store.set(func() { world.store.mute[machine.store] = true })
					time.Sleep(length)
					world.store.set(func() { world.store.mute[machine.store] = false })
				case 3:
					world.store.set(func() { world.store.slow = 200 * time.Millisecond })
					time.Sleep(length)
					world.store.set(func() { world.store.slow = 0 })
				case 4, 5:
					world.store.set(func() { world.store.floor = world.store.revision })
				case 6:
					world.store.setDown(true)
					time.Sleep(length)
					world.store.setDown(false)
				case 7:
					world.store.silence()
				}
			}()
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		}
		work.Wait()
		if random.IntN(2) == 0 {
			remove()
		}
		if random.IntN(2) == 0 {
			version, changed = version+1, !changed
			write()
		}
		world.record.log("calm")
		time.Sleep(4300 * time.Millisecond)
		mu.Lock()
		checking, inForce = true, service()
		mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		checking, inForce = false, ""
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	for _, machine := range world.machines {
		if machine.hasEnded() {
			broken = append(broken, "CRASH "+machine.name+" "+machine.end())
		}
	}
	world.finish(broken, fmt.Sprintf("%d requests", count.Load()))
}

// set changes the store's behaviour.
func (store *store) set(change func()) {
	store.mu.Lock()
	defer store.mu.Unlock()
	change()
	close(store.changed)
	store.changed = make(chan struct{})
}
