package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server has begun to work on.
type run struct {
	server *server
	id     string
	method string
	uri    string
	body   string // digest
	tenant string
	at     time.Time
	stamp  string
}

// runs holds all runs of all servers by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (runs *runs) add(run run) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.byID[run.id] = append(runs.byID[run.id], run)
}

func (runs *runs) of(id string) []run {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	return append([]run{}, runs.byID[id]...)
}

// act says what a server does with a request.
type act int

const (
	answer    act = iota // runs it and answers
	refuse               // does not run it and says so
	lose                 // runs it and closes the connection without an answer
	reset                // the same with a reset
	truncate             // runs it and breaks off the answer
	fail500              // runs it and answers with a failure of its own
	double               // runs it, answers and sends the answer once more, late
	hang                 // runs it and never answers
	closeWith            // runs it, answers with Connection: close and closes
)

// server is a stand-in of a back-end server.
type server struct {
	world    *world
	id       string
	service  string
	zone     string
	address  string
	listener net.Listener
	runs     *runs
	decide   func(request *http.Request) (act, time.Duration)
	body     func(id string) []byte
	sequence atomic.Int64
	draining atomic.Bool
	gone     atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

var stamps atomic.Int64

// startServer starts a server, which registers itself in the store.
func (world *world) startServer(id, service, zone, address string, runs *runs) *server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("server %s: %s", id, err)
	}
	server := &server{world: world, id: id, service: service, zone: zone, address: listener.Addr().String(), listener: listener, runs: runs, conns: map[net.Conn]bool{},
		decide: func(*http.Request) (act, time.Duration) { return answer, 5 * time.Millisecond }}
	server.body = func(id string) []byte { return fmt.Appendf(nil, "%s answers %s ", server.id, id) }
	go server.serve()
	server.beat()
	go func() {
		for !server.gone.Load() {
			time.Sleep(1200 * time.Millisecond)
			if !server.gone.Load() {
				server.beat()
			}
		}
	}()
	world.record.log("server %s of %s at %s", id, service, server.address)
	return server
}

// beat writes the server's entry.
func (server *server) beat() {
	state := "ready"
	if server.draining.Load() {
		state = "draining"
	}
	server.world.store.put("servers", server.id, map[string]any{"service": server.service, "address": server.address, "zone": server.zone, "version": "v1",
		"slots": 2, "state": state, "warmup_left_ms": 0, "seq": server.sequence.Add(1), "born": server.world.record.started.UnixMilli()})
}

// moved changes the server's entry.
func (server *server) moved() { server.beat() }

// crash ends the server: its connections are reset and its address is free. Its entry goes after three heartbeat intervals.
func (server *server) crash() {
	server.gone.Store(true)
	_ = server.listener.Close()
	server.mu.Lock()
	for conn := range server.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	server.mu.Unlock()
	go func() {
		time.Sleep(3600 * time.Millisecond)
		server.world.store.put("servers", server.id, nil)
	}()
}

func (server *server) serve() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mu.Lock()
		server.conns[conn] = true
		server.mu.Unlock()
		go func() {
			server.handle(conn)
			_ = conn.Close()
			server.mu.Lock()
			delete(server.conns, conn)
			server.mu.Unlock()
		}()
	}
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:6])
}

func (server *server) handle(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle timeout
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		var response bytes.Buffer
		if request.Header.Get("X-Expect-Instance") != server.id {
			fmt.Fprintf(&response, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, server.id)
			if _, err := conn.Write(response.Bytes()); err != nil {
				return
			}
			continue
		}
		act, delay := server.decide(request)
		if act == refuse {
			fmt.Fprintf(&response, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			if _, err := conn.Write(response.Bytes()); err != nil {
				return
			}
			continue
		}
		stamp := fmt.Sprintf("%s.%x.%x", server.id, stamps.Add(1), rand.Uint32())
		server.runs.add(run{server: server, id: id, method: request.Method, uri: request.RequestURI, body: digest(body), tenant: request.Header.Get("X-Tenant"),
			at: time.Now(), stamp: stamp})
		server.world.record.log("run %s at %s: %s %s, %d bytes %s, act %d", id, server.id, request.Method, request.RequestURI, len(body), digest(body), act)
		time.Sleep(delay)
		text := server.body(id)
		status := "200 OK"
		if act == fail500 {
			status = "500 Internal Server Error"
		}
		fmt.Fprintf(&response, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n", status, id, stamp, len(text))
		if act == closeWith {
			response.WriteString("Connection: close\r\n")
		}
		response.WriteString("\r\n")
		response.Write(text)
		switch act {
		case lose:
			return
		case reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case hang:
			time.Sleep(20 * time.Second)
			return
		case truncate:
			_, _ = conn.Write(response.Bytes()[:response.Len()-len(text)/2])
			return
		}
		if _, err := conn.Write(response.Bytes()); err != nil {
			return
		}
		switch act {
		case closeWith:
			return
		case double:
			time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			if _, err := conn.Write(response.Bytes()); err != nil {
				return
			}
		}
	}
}
