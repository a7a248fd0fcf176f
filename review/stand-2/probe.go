package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["probe"] = probe }

func probe(dir string) {
	world := newWorld(dir, "a")
	runs := &runs{byID: map[string][]run{}}
	world.startServer("i-1", "one", "a", "127.0.0.1:0", runs)
	world.store.put("config", "main", config(1, false))
	world.startAll()
	head := "Host: h.example\r\nX-Request-Id: p1\r\nX-Deadline-Ms: 1000\r\n"
	for _, text := range []string{
		"OPTIONS * HTTP/1.1\r\n" + head + "\r\n",
		"OPTIONS /nowhere/ HTTP/1.1\r\n" + head + "\r\n",
		"GET /many/x HTTP/1.0\r\n" + head + "\r\n",
		"GET http://h.example/many/x HTTP/1.1\r\n" + head + "\r\n",
		"GET //many/x HTTP/1.1\r\n" + head + "\r\n",
		"HEAD /many/x HTTP/1.1\r\n" + head + "\r\n",
		"GET /many/x HTTP/1.1\r\n" + head + "Expect: 200-ok\r\n\r\n",
		"GET /many/x HTTP/1.1\r\n" + head + "Connection: X-Request-Id\r\n\r\n",
		"GET /many/x HTTP/1.1\r\n" + head + "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET /many/x HTTP/1.1\r\n" + head + "\r\nGET /many/y HTTP/1.1\r\n" + head + "\r\n",
		"DELETE /once/x HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n",
		"GET /many/%2e%2e/x?a=b%20c&d=%zz HTTP/1.1\r\n" + head + "\r\n",
		"CONNECT h.example:80 HTTP/1.1\r\n" + head + "\r\n",
	} {
		conn, err := net.Dial("tcp", world.machines[0].front)
		if err != nil {
			fail("%s", err)
		}
		_, _ = conn.Write([]byte(text))
		_ = conn.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
		data, _ := io.ReadAll(conn)
		fmt.Printf("%.60q\n   -> %.330q\n", text, data)
		_ = conn.Close()
	}
	world.finish(nil, "probe")
}
