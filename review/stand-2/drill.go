package main

import (
	"fmt"
	"io"
	"maps"
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

func init() { cases["drill"] = drill }

// drill: restores of the store, with changes of the configuration and drains between them.
func drill(dir string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 9))
	world := newWorld(dir, "a", "a", "b", "c")
	runs := &runs{byID: map[string][]run{}}
	n := 0
	start := func(service, zone string) *server {
		n++
		server := world.startServer(fmt.Sprintf("i-%04d", n), service, zone, "127.0.0.1:0", runs)
		return server
	}
	for _, zone := range []string{"a", "b", "c"} {
		for _, service := range []string{"one", "one", "two", "two"} {
			world.servers = append(world.servers, start(service, zone))
		}
	}
	for i := 0; i < 6; i++ {
		for _, zone := range []string{"a", "b"} {
			server := start(fmt.Sprintf("s%d", i), zone)
			server.body = func(id string) []byte { return fmt.Appendf(nil, "%-16.16s", server.id+id) }
		}
	}
	version, changed := 1, false
	world.store.put("config", "main", config(version, changed))
	world.startAll()
	var mu sync.Mutex
	var broken []string
	breaks := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, args...))
		world.record.log("BROKEN: %s", broken[len(broken)-1])
	}
	stop := make(chan struct{})
	expects := &sync.Map{} // machine name: service expected in force, or nil
	drained := &sync.Map{} // server id: time from which no request may reach it
	var count atomic.Int64
	statuses := &sync.Map{}
	for i := 0; i < 16; i++ {
		go func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				machine := world.machines[(i+k)%4]
				id := fmt.Sprintf("%d-%d", i, k)
				path := []string{"/once/", "/many/", "/all/"}[rand.IntN(3)]
				request, _ := http.NewRequest("GET", "http://"+machine.front+path, nil)
				request.Host = "h.example"
				request.Header.Set("X-Request-Id", id)
				request.Header.Set("X-Deadline-Ms", "2000")
				wanted, _ := expects.Load(machine.name)
				sent := time.Now()
				response, err := client.Do(request)
				if err != nil {
					time.Sleep(30 * time.Millisecond)
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				count.Add(1)
				counter, _ := statuses.LoadOrStore(response.StatusCode, &atomic.Int64{})
				counter.(*atomic.Int64).Add(1)
				if again, _ := expects.Load(machine.name); again != wanted {
					wanted = nil // the configuration has changed meanwhile
				}
				for _, run := range runs.of(id) {
					if service, ok := wanted.(string); ok && !strings.HasPrefix(run.server.service, "s") && run.server.service != service {
						breaks("CONFIG: %s was run by %s, in force is %s at %s", id, run.server.service, service, machine.name)
					}
					if from, ok := drained.Load(run.server.id); ok && sent.After(from.(time.Time)) {
						breaks("DRAIN: %s reached %s through %s %s after it had to be left alone", id, run.server.id, machine.name, run.at.Sub(from.(time.Time)))
					}
				}
				if wanted != nil && response.StatusCode == 404 {
					breaks("404 at %s", machine.name)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	until := time.Now().Add(time.Duration(envInt("SECONDS", 80)) * time.Second)
	reconfigure := func() {
		version += 1 + random.IntN(3)
		changed = !changed
		for _, machine := range world.machines {
			expects.Delete(machine.name)
		}
		world.store.put("config", "main", config(version, changed))
		world.record.log("configuration %d changed %v", version, changed)
	}
	drain := func(quiet bool) *server {
		i := random.IntN(12)
		old := world.servers[i]
		world.servers[i] = start(old.service, old.zone)
		old.draining.Store(true)
		if quiet {
			old.gone.Store(true) // no further writes
			world.store.put("servers", old.id, nil)
		} else {
			old.beat()
		}
		world.record.log("drain %s quiet %v", old.id, quiet)
		return old
	}
	for time.Now().Before(until) {
		var left []*server
		if random.IntN(2) == 0 {
			reconfigure()
		}
		if random.IntN(2) == 0 {
			left = append(left, drain(random.IntN(2) == 0))
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		copied := world.store.copy()
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		if random.IntN(3) > 0 {
			reconfigure()
		}
		for k := random.IntN(3); k > 0; k-- {
			left = append(left, drain(random.IntN(2) == 0))
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		if world.trouble {
			for _, machine := range world.machines {
				expects.Delete(machine.name)
			}
			world.store.setDown(true)
			time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
			world.store.restore(copied)
			world.store.setDown(false)
			world.record.log("store restored")
			for _, old := range left { // an entry that is not written again goes after three heartbeat intervals
				if old.gone.Load() {
					time.AfterFunc(3600*time.Millisecond, func() { world.store.put("servers", old.id, nil) })
				}
			}
			switch random.IntN(4) {
			case 0:
				machine := world.machines[random.IntN(4)]
				world.record.log("kill %s", machine.name)
				machine.signal(syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
				machine.start(false)
			case 1:
				machine := world.machines[random.IntN(4)]
				world.record.log("freeze %s", machine.name)
				machine.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				machine.signal(syscall.SIGCONT)
			}
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			world.store.put("config", "main", config(version, changed)) // the operator writes it again
		}
		restored := time.Now()
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
		if random.IntN(2) == 0 {
			reconfigure()
		}
		time.Sleep(time.Until(restored.Add(7200 * time.Millisecond)))
		service := "one"
		if changed {
			service = "two"
		}
		for _, machine := range world.machines {
			expects.Store(machine.name, service)
		}
		for _, old := range left {
			drained.Store(old.id, time.Now())
		}
		time.Sleep(1500 * time.Millisecond)
		// steady state: a change and a drain, each in force 3 s later
		reconfigure()
		late := drain(random.IntN(2) == 0)
		time.Sleep(3050 * time.Millisecond)
		service = "one"
		if changed {
			service = "two"
		}
		for _, machine := range world.machines {
			expects.Store(machine.name, service)
		}
		drained.Store(late.id, time.Now())
		time.Sleep(700 * time.Millisecond)
		for _, machine := range world.machines {
			expects.Delete(machine.name)
		}
		for _, old := range append(left, late) {
			old.crash()
		}
	}
	close(stop)
	text := ""
	statuses.Range(func(key, value any) bool {
		text += fmt.Sprintf("%v: %d ", key, value.(*atomic.Int64).Load())
		return true
	})
	for _, machine := range world.machines {
		if machine.hasEnded() {
			breaks("CRASH %s %s", machine.name, machine.end())
		}
	}
	world.finish(broken, fmt.Sprintf("%d requests, statuses %s", count.Load(), text))
}

// contents is a copy of a store.
type contents struct {
	revision int64
	objects  map[string]map[string]object
	events   []event
}

func (store *store) copy() contents {
	store.mu.Lock()
	defer store.mu.Unlock()
	copied := contents{store.revision, map[string]map[string]object{}, append([]event{}, store.events...)}
	for kind, objects := range store.objects {
		copied.objects[kind] = maps.Clone(objects)
	}
	return copied
}

func (store *store) restore(copied contents) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.revision, store.events, store.era = copied.revision, append([]event{}, copied.events...), store.era+1
	store.objects = map[string]map[string]object{}
	for kind, objects := range copied.objects {
		store.objects[kind] = maps.Clone(objects)
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) setDown(down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.down = down
	close(store.changed)
	store.changed = make(chan struct{})
}
