package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["hupprobe"] = hupProbe }

func hupProbe(dir string) {
	world := newWorld(dir, "a")
	runs := &runs{byID: map[string][]run{}}
	world.startServer("i-1", "one", "a", "127.0.0.1:0", runs)
	world.store.put("config", "main", config(1, false))
	machine := world.machines[0]
	for _, delay := range []int{0, 1, 2, 3, 5, 8, 10, 12, 15, 20, 25, 30, 40} {
		machine.start(true)
		time.Sleep(time.Duration(delay) * time.Millisecond)
		machine.signal(syscall.SIGHUP)
		ready := machine.awaitReady(2 * time.Second)
		fmt.Printf("hup after %d ms: ready %v ended %v", delay, ready, machine.hasEnded())
		if machine.hasEnded() {
			fmt.Printf(" %s", machine.end())
		}
		fmt.Println()
		machine.signal(syscall.SIGKILL)
		time.Sleep(100 * time.Millisecond)
	}
	world.finish(nil, "probe")
}
