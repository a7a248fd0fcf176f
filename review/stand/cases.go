package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cases maps the name of a case to what plays it; the result is how often the rule was broken.
var cases = map[string]func(temporary string) int{"topk": topK, "quota": quota, "seed": seed, "source": source}

const (
	shards     = 12
	serverWork = 3 * time.Millisecond
)

// shardRecords returns the records of a shard: those of shard 0 are the greatest of all.
func shardRecords(shard, count int) [][16]byte {
	records := make([][16]byte, count)
	for i := range records {
		binary.BigEndian.PutUint64(records[i][:], uint64(1_000_000-1000*shard-i))
		records[i][15] = byte(shard)
	}
	return records
}

// topK: a version removes a route over many shards, and the next one adds it again with another top_k, while the store turns one machine of
// three away. That machine then relays calls by the version that it still has.
func topK(temporary string) int {
	platform, zones := newStore(), []string{"a", "b", "c"}
	byStamp := map[string]*server{}
	var names []string
	for shard := range shards {
		name := fmt.Sprintf("shard%d", shard)
		names = append(names, name)
		for copy := range 2 { // all servers of a shard respond equally well
			t := &server{id: fmt.Sprintf("i-%s-%d", name, copy), service: name, zone: zones[(shard+copy)%len(zones)], records: shardRecords(shard, 25), work: serverWork}
			t.start()
			byStamp[t.stamp("")] = t
			platform.put("servers", t.id, t.spec("ready"))
		}
	}
	other := single("lookup", "/lookup/", "idempotent", names[0])
	version := 1
	platform.put("config", "main", config(version, names, gather("sweep", "/sweep/", 5, names), other))
	var fronts []*vm
	for _, zone := range zones {
		fronts = append(fronts, newVM(temporary, "front-"+zone+"-1", zone, platform.address("front-"+zone+"-1")))
	}
	for _, front := range fronts {
		front.seeds = []string{fronts[0].control, fronts[1].control, fronts[2].control}
		front.start()
	}
	awaitReady(fronts...)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	broken, counts := 0, map[string]int{}
	check := func(front *vm, r reply) {
		mu.Lock()
		defer mu.Unlock()
		if r.err != nil || r.status != 200 {
			counts[fmt.Sprintf("status %d", r.status)]++
			return
		}
		got := len(r.body) / 16
		counts[fmt.Sprintf("%d records", got)]++
		var records [][]byte
		for _, stamp := range strings.Split(r.header.Get("X-Part-Stamps"), ",") {
			t := byStamp[strings.TrimSuffix(strings.TrimSpace(stamp), r.id)]
			if t == nil {
				broken++
				note("MIXED: %s: foreign signature %s", r.id, stamp)
				return
			}
			for _, one := range t.records {
				records = append(records, append([]byte{}, one[:]...))
			}
		}
		// Whatever version is in force, the body has to be the greatest 5 or the greatest 20 records of the parts named.
		if !bytes.Equal(r.body, greatest(records, 5)) && !bytes.Equal(r.body, greatest(records, 20)) {
			broken++
			note("MIXED: %s, sent to %s at %.3f s: the body has %d records, %d of which are among the greatest 20 of the %s parts named; it is neither the greatest 5 nor the greatest 20",
				r.id, front.name, r.sent.Sub(record.start).Seconds(), got, common(r.body, greatest(records, 20)), fmt.Sprint(len(records)/25))
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		front := fronts[i%len(fronts)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				check(front, ask(front.front, "GET", "/sweep/x", 2*time.Second, ""))
			}
		}()
	}
	note("clients begin; version %d has the route with top_k 5", version)
	away := fronts[1]
	for _, count := range []int{20, 5, 20, 5, 20} {
		time.Sleep(4500 * time.Millisecond)
		if !trouble {
			continue
		}
		platform.set(func() { platform.silent[away.name] = true })
		note("the store is silent for %s", away.name)
		version++
		platform.put("config", "main", config(version, names, other))
		note("version %d, without the route, is acknowledged", version)
		time.Sleep(300 * time.Millisecond)
		version++
		platform.put("config", "main", config(version, names, gather("sweep", "/sweep/", count, names), other))
		note("version %d, with the route and top_k %d, is acknowledged", version, count)
		time.Sleep(4 * time.Second)
		platform.set(func() { platform.silent[away.name] = false })
		note("the store answers %s again", away.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	note("answers: %v", counts)
	return broken
}

// common returns how many records two lists share.
func common(a, b []byte) int {
	count := 0
	for i := 0; i+16 <= len(a); i += 16 {
		for j := 0; j+16 <= len(b); j += 16 {
			if bytes.Equal(a[i:i+16], b[j:j+16]) {
				count++
				break
			}
		}
	}
	return count
}

// greatest returns the greatest records, falling.
func greatest(records [][]byte, count int) []byte {
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(sorted[:min(count, len(sorted))], nil)
}

// quota: a machine is stopped as planned and started again, and the store does its call to leave the list of machines late.
func quota(temporary string) int {
	const rate, burst, window = 100.0, 50.0, 5 * time.Second
	limit := int((rate*window.Seconds()+burst)*1.1 + 20)
	platform := newStore()
	for i, zone := range []string{"a", "a", "b", "b"} {
		t := &server{id: fmt.Sprintf("i-one-%d", i), service: "one", zone: zone, work: serverWork}
		t.start()
		platform.put("servers", t.id, t.spec("ready"))
	}
	first := config(1, []string{"one"}, single("lookup", "/lookup/", "idempotent", "one"))
	first["tenants"] = []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}, "rate_per_s": rate, "burst": burst}}
	platform.put("config", "main", first)
	var fronts []*vm
	for i, zone := range []string{"a", "a", "b"} {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		fronts = append(fronts, newVM(temporary, name, zone, platform.address(name)))
	}
	for _, front := range fronts {
		front.bounds, front.seeds = quotaBounds, []string{fronts[0].control, fronts[1].control, fronts[2].control}
		front.start()
	}
	awaitReady(fronts...)
	sentAt := map[string]time.Time{}
	counts := map[string]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 30 {
		front := fronts[i%len(fronts)]
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				r := ask(front.front, "GET", "/lookup/x", 2*time.Second, "key-1")
				mu.Lock()
				sentAt[r.id] = r.sent
				counts[fmt.Sprintf("%s %d", front.name, r.status)]++
				mu.Unlock()
			}
		}()
	}
	note("clients begin; the tenant may run %d requests in %s", limit, window)
	time.Sleep(14 * time.Second) // the machines count each other by then
	stopped := fronts[0]         // gets its updates from front-a-2, as the order of their names decides
	if trouble {
		platform.set(func() { platform.late[stopped.name] = 6 * time.Second })
	}
	stopped.signal(syscall.SIGTERM)
	note("SIGTERM to %s", stopped.name)
	<-stopped.exited
	note("%s has ended", stopped.name)
	time.Sleep(300 * time.Millisecond)
	stopped.start()
	awaitReady(stopped)
	note("%s is ready again", stopped.name)
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	note("answers: %v", counts)
	return windowsOver(sentAt, limit, window)
}

// windowsOver returns in how many windows, one after the other, more requests were sent and arrived than the limit.
func windowsOver(sentAt map[string]time.Time, limit int, window time.Duration) int {
	runs.Lock()
	defer runs.Unlock()
	type request struct{ sent, arrived time.Time }
	var list []request
	counted := map[string]bool{} // a request that ran more than once counts once
	for _, one := range runs.list {
		if sent, ok := sentAt[one.id]; ok && !counted[one.id] {
			counted[one.id] = true
			list = append(list, request{sent, one.at})
		}
	}
	slices.SortFunc(list, func(a, b request) int { return a.sent.Compare(b.sent) })
	over, most, mostAt := 0, 0, time.Time{}
	for i := 0; i < len(list); {
		end, count := list[i].sent.Add(window), 0
		for _, one := range list[i:] {
			if !one.arrived.After(end) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, list[i].sent
		}
		if count <= limit {
			i++
			continue
		}
		over++
		note("QUOTA: %d requests of the tenant in the %s from %.3f s; the limit is %d", count, window, list[i].sent.Sub(record.start).Seconds(), limit)
		for i < len(list) && list[i].sent.Before(end) {
			i++
		}
	}
	note("most requests in %s: %d, from %.3f s", window, most, mostAt.Sub(record.start).Seconds())
	return over
}

// seed: a machine that starts while the store is slow asks a machine for its state that has just woken up from a freeze.
func seed(temporary string) int {
	const drain, stability = 3 * time.Second, 4 * time.Second
	platform := newStore()
	var servers []*server
	for i, zone := range []string{"a", "b", "c"} {
		t := &server{id: fmt.Sprintf("i-one-%d", i), service: "one", zone: zone, work: serverWork}
		t.start()
		servers = append(servers, t)
		platform.put("servers", t.id, t.spec("ready"))
	}
	leaving, before := servers[0], servers[2]
	platform.put("config", "main", config(1, []string{"one"}, single("lookup", "/lookup/", "idempotent", "one")))
	var fronts []*vm
	for i, zone := range []string{"a", "b", "b", "c"} {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		fronts = append(fronts, newVM(temporary, name, zone, platform.address(name)))
	}
	restarted, frozen := fronts[0], fronts[1] // the one of its zone that watches the store, as the order of their names decides
	for _, front := range fronts {
		front.seeds = []string{frozen.control, fronts[3].control, restarted.control}
		front.start()
	}
	awaitReady(fronts...)
	sentAt := map[string]time.Time{}
	counts := map[int]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				r := ask(restarted.front, "GET", "/lookup/x", 2*time.Second, "")
				mu.Lock()
				sentAt[r.id] = r.sent
				counts[r.status]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(6 * time.Second)
	platform.put("servers", before.id, nil)
	note("the entry of %s is removed", before.id)
	time.Sleep(60 * time.Millisecond)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		note("%s is frozen", frozen.name)
	}
	frozenAt := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(frozenAt.Add(after))) }
	at(200 * time.Millisecond)
	platform.put("servers", leaving.id, nil)
	gone := time.Now()
	note("the entry of %s is removed; the server goes on serving", leaving.id)
	at(2800 * time.Millisecond)
	restarted.signal(syscall.SIGKILL)
	<-restarted.exited
	note("%s is killed", restarted.name)
	if trouble {
		platform.set(func() {
			for _, front := range fronts {
				platform.delay[front.name] = 200 * time.Millisecond
			}
		})
		note("the store is slow: it takes 200 ms an answer")
	}
	at(3300 * time.Millisecond)
	listed := make(chan bool, 16)
	platform.set(func() {
		platform.onList = func(machine, kind string) {
			if machine == restarted.name && kind == "servers" {
				select {
				case listed <- true:
				default:
				}
			}
		}
	})
	restarted.start()
	startedAt := time.Now()
	note("%s is started again", restarted.name)
	if trouble {
		select {
		case <-listed:
		case <-time.After(time.Until(frozenAt.Add(3950 * time.Millisecond))): // no freeze lasts longer than 4 s
		}
		time.Sleep(30 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
		note("%s wakes up after %.2f s; %s has got the list of servers", frozen.name, time.Since(frozenAt).Seconds(), restarted.name)
	}
	at(4500 * time.Millisecond)
	platform.set(func() { clear(platform.delay) })
	slowUntil := time.Now()
	note("the store is as fast as before")
	awaitReady(fronts...)
	at(14 * time.Second)
	close(stop)
	clients.Wait()
	note("answers by status: %v", counts)
	inTouch := startedAt.Add(stability)
	if until := slowUntil.Add(stability); trouble && until.After(inTouch) {
		inTouch = until
	}
	note("%s is in touch from %.3f s on", restarted.name, inTouch.Sub(record.start).Seconds())
	broken := 0
	runs.Lock()
	defer runs.Unlock()
	for _, one := range runs.list {
		sent, ok := sentAt[one.id]
		if ok && one.server == leaving.id && one.at.After(gone.Add(drain)) && sent.After(inTouch) {
			broken++
			note("DRAIN: %s, sent at %.3f s, reaches %s at %.3f s, %.1f s after its entry was removed", one.id, sent.Sub(record.start).Seconds(), one.server,
				one.at.Sub(record.start).Seconds(), one.at.Sub(gone).Seconds())
		}
	}
	return broken
}

// source: the machine from which another one of its zone gets its updates is killed and started again, right after servers have left.
func source(temporary string) int {
	const drain, stability = 3 * time.Second, 4 * time.Second
	platform := newStore()
	var servers []*server
	for i, zone := range []string{"a", "a", "b"} {
		t := &server{id: fmt.Sprintf("i-one-%d", i), service: "one", zone: zone, work: serverWork}
		t.start()
		servers = append(servers, t)
		platform.put("servers", t.id, t.spec("ready"))
	}
	leaving := servers[:2]
	platform.put("config", "main", config(1, []string{"one"}, single("lookup", "/lookup/", "idempotent", "one")))
	var fronts []*vm
	for i, zone := range []string{"a", "a", "b"} {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		fronts = append(fronts, newVM(temporary, name, zone, platform.address(name)))
	}
	follower, killed := fronts[0], fronts[1] // front-a-1 gets its updates from front-a-2, as the order of their names decides
	for _, front := range fronts {
		front.seeds = []string{fronts[2].control, killed.control, follower.control}
		front.start()
	}
	awaitReady(fronts...)
	sentAt := map[string]time.Time{}
	counts := map[int]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				r := ask(follower.front, "GET", "/lookup/x", 2*time.Second, "")
				mu.Lock()
				sentAt[r.id] = r.sent
				counts[r.status]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(6 * time.Second)
	gone := map[string]time.Time{}
	for _, t := range leaving {
		platform.put("servers", t.id, nil)
		gone[t.id] = time.Now()
		note("the entry of %s is removed; the server goes on serving", t.id)
		time.Sleep(60 * time.Millisecond)
	}
	inTouch := time.Now()
	if trouble {
		platform.set(func() { platform.silent[follower.name] = true })
		note("the store is silent for %s", follower.name)
		killed.signal(syscall.SIGKILL)
		<-killed.exited
		note("%s is killed", killed.name)
		time.Sleep(300 * time.Millisecond)
		killed.start()
		note("%s is started again", killed.name)
		time.Sleep(2700 * time.Millisecond)
		platform.set(func() { platform.silent[follower.name] = false })
		note("the store answers %s again", follower.name)
		inTouch = time.Now().Add(stability)
	}
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	note("answers by status: %v", counts)
	note("%s is in touch from %.3f s on", follower.name, inTouch.Sub(record.start).Seconds())
	broken := 0
	runs.Lock()
	defer runs.Unlock()
	for _, one := range runs.list {
		at, left := gone[one.server]
		sent, ok := sentAt[one.id]
		if ok && left && one.at.After(at.Add(drain)) && sent.After(inTouch) {
			broken++
			note("DRAIN: %s, sent at %.3f s, reaches %s at %.3f s, %.1f s after its entry was removed", one.id, sent.Sub(record.start).Seconds(), one.server,
				one.at.Sub(record.start).Seconds(), one.at.Sub(at).Seconds())
		}
	}
	return broken
}
