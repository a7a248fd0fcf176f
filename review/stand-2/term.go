package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = term }

// term: rolling planned stops under clients that use their connections until the process has gone.
func term(dir string) {
	world := newWorld(dir, "a", "a", "b", "c")
	runs := &runs{byID: map[string][]run{}}
	n := 0
	for _, zone := range []string{"a", "b", "c"} {
		for k := 0; k < 4; k++ {
			n++
			server := world.startServer(fmt.Sprintf("i-%d", n), "one", zone, "127.0.0.1:0", runs)
			server.decide = func(*http.Request) (act, time.Duration) {
				switch rand.IntN(10) {
				case 0:
					return answer, time.Duration(rand.IntN(1800)) * time.Millisecond
				case 1:
					return closeWith, 5 * time.Millisecond
				case 2:
					return refuse, 0
				}
				return answer, time.Duration(rand.IntN(60)) * time.Millisecond
			}
		}
	}
	for i := 0; i < 6; i++ {
		for _, zone := range []string{"a", "b"} {
			server := world.startServer(fmt.Sprintf("i-s%d%s", i, zone), fmt.Sprintf("s%d", i), zone, "127.0.0.1:0", runs)
			server.body = func(id string) []byte { return fmt.Appendf(nil, "%-16.16s", server.id+id) }
		}
	}
	world.store.put("config", "main", config(1, false))
	world.startAll()
	until := time.Now().Add(time.Duration(envInt("SECONDS", 60)) * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	total, cut := 0, map[string]int{}
	for i := 0; i < 60; i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Now().Before(until); n++ {
				machine := world.machines[(i+n)%len(world.machines)]
				conn, err := net.DialTimeout("tcp", machine.front, time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				if rand.IntN(5) == 0 {
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
				}
				reader := bufio.NewReader(conn)
				for k := 0; time.Now().Before(until); k++ {
					id := fmt.Sprintf("%d-%d-%d", i, n, k)
					path := []string{"/once/", "/many/", "/all/"}[rand.IntN(3)]
					body := bytes.Repeat([]byte("x"), 1+rand.IntN(9000))
					var text bytes.Buffer
					fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", path, id, len(body))
					text.Write(body)
					data := text.Bytes()
					_ = conn.SetDeadline(time.Now().Add(9 * time.Second))
					slowly := rand.IntN(6) == 0
					var err error
					if slowly {
						half := len(data) - 1
						if _, err = conn.Write(data[:half]); err == nil {
							time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
							_, err = conn.Write(data[half:])
						}
					} else {
						_, err = conn.Write(data)
					}
					sent := time.Now()
					if err != nil {
						break
					}
					response, err := http.ReadResponse(reader, nil)
					if err == nil {
						_, err = io.ReadAll(response.Body)
					}
					mu.Lock()
					total++
					if err != nil {
						after := time.Since(sent)
						passed := len(runs.of(id)) > 0
						cut[fmt.Sprintf("%T passed %v slowly %v", errors.Unwrap(err), passed, slowly)]++
						world.record.log("cut %s %s on %s after %s, passed on %v, slowly %v, request %d of its connection: %s", id, path, machine.name, after, passed, slowly, k, err)
						if passed || after > 200*time.Millisecond {
							broken = append(broken, fmt.Sprintf("%s %s on %s was cut after %s, passed on %v: %s", id, path, machine.name, after, passed, err))
						}
					}
					mu.Unlock()
					if err != nil || response.Close && rand.IntN(2) == 0 {
						break
					}
					if response.Close { // read whether the other side closes
						break
					}
					if rand.IntN(4) == 0 {
						time.Sleep(time.Duration(rand.IntN(2600)) * time.Millisecond)
					}
				}
				_ = conn.Close()
			}
		}()
	}
	for world.trouble && time.Now().Before(until.Add(-8*time.Second)) {
		for _, machine := range world.machines {
			if time.Now().After(until.Add(-8 * time.Second)) {
				break
			}
			world.record.log("term %s", machine.name)
			machine.signal(syscall.SIGTERM)
			began := time.Now()
			for !machine.hasEnded() && time.Since(began) < 7*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			world.record.log("ended %s %v after %s", machine.name, machine.hasEnded(), time.Since(began))
			machine.start(false)
			machine.awaitReady(5 * time.Second)
		}
	}
	clients.Wait()
	world.finish(broken, fmt.Sprintf("%d requests, cut: %v", total, cut))
}
