package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// Crowds are clients that do not keep to the pages. Each of these tests starts a VM with the memory of the smallest one and few descriptors.
const (
	crowdMemoryMB    = 160
	crowdFDs         = 700  // 200 of them are for files
	manyClients      = 3500 // for crowds that use up memory although each client keeps to the limits
	someClients      = 300
	moreThanFDs      = 900
	returningClients = 1200
	returningTime    = 4 * time.Second        // before ordinary requests are sent beside clients that come back
	refusedPause     = 100 * time.Millisecond // of a caller after a response without Retry-After
)

// crowdVM is a VM beside which crowds are played.
type crowdVM struct {
	*process
	maxFDs     int
	open       net.Conn // an ordinary caller's connection, on which one request was answered before the crowd came
	openReader *bufio.Reader
}

// startCrowdVM starts a VM with ordinary targets and a slow one.
func startCrowdVM(t *testing.T, binary string, maxFDs int) *crowdVM {
	t.Helper()
	store := platformtest.NewStore(t)
	names := []string{"shard0", "shard1", "shard2", "shard3"}
	for _, name := range names {
		store.Put("servers", name+"-1", platformtest.NewTarget(t, name+"-1").Spec(name, "a", "ready"))
	}
	for i := range 4 {
		id := fmt.Sprintf("slow-%d", i)
		slow := platformtest.NewTarget(t, id)
		slow.SetHandler(func(writer http.ResponseWriter, request *http.Request) {
			if strings.HasSuffix(request.URL.Path, "/large") {
				platformtest.Sign(writer, id)
				_, _ = writer.Write(make([]byte, 1<<20))
				return
			}
			select {
			case <-request.Context().Done():
			case <-time.After(15 * time.Second):
			}
		})
		store.Put("servers", id, slow.Spec("slow", "a", "ready"))
	}
	store.Put("config", "main", platformtest.CrowdConfig(names))
	vm := &crowdVM{process: startVM(t, binary, platformtest.Process{VM: "vm-a1", StoreAddress: store.Address(), MemoryMB: crowdMemoryMB, MaxFDs: maxFDs}),
		maxFDs: maxFDs}
	limit := unix.Rlimit{Cur: uint64(maxFDs), Max: uint64(maxFDs)}
	assert.NilError(t, unix.Prlimit(vm.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	conn, err := net.Dial("tcp", vm.Clients)
	assert.NilError(t, err)
	vm.open, vm.openReader = conn, bufio.NewReader(conn)
	t.Cleanup(func() { _ = conn.Close() })
	vm.assertOpenConnectionServes(t)
	return vm
}

// assertOpenConnectionServes sends an ordinary request on the open connection of an ordinary caller, who comes back on it when the VM is overloaded: the
// requests of some crowds are ordinary ones, too.
func (vm *crowdVM) assertOpenConnectionServes(t *testing.T) {
	t.Helper()
	var failure string
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		request := platformtest.NewRequest(t, http.MethodGet, vm.url+"/g/x", nil)
		assert.NilError(t, vm.open.SetDeadline(deadline))
		assert.NilError(t, request.Write(vm.open))
		response, err := http.ReadResponse(vm.openReader, request)
		assert.NilError(t, err, "open connection")
		text := make([]byte, response.ContentLength)
		_, err = io.ReadFull(vm.openReader, text)
		assert.NilError(t, err)
		if response.StatusCode == http.StatusOK {
			return
		}
		failure = response.Status + " " + string(text)
		assert.Assert(t, strings.Contains(failure, "not run: servers are overloaded"), failure)
		time.Sleep(retryAfter(response))
	}
	t.Fatal("an ordinary request on an open connection: ", failure)
}

// retryAfter returns when a caller comes back after a response.
func retryAfter(response *http.Response) time.Duration {
	pause, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return refusedPause
	}
	return time.Duration(pause * float64(time.Second))
}

// assertNewConnectionServes sends an ordinary request on new connections, as a caller does who comes back when it is told to.
func assertNewConnectionServes(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: startTimeout}
	var failure string
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		response, err := client.Do(platformtest.NewRequest(t, http.MethodGet, url, nil))
		if err != nil {
			failure = err.Error()
			time.Sleep(refusedPause)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		failure = response.Status + " " + string(text)
		time.Sleep(retryAfter(response))
	}
	t.Fatal("an ordinary request on a new connection to ", url, ": ", failure)
}

// assertBears lets a crowd come and go, and checks that the VM serves ordinary requests beside it and afterwards within its memory and descriptors.
func (vm *crowdVM) assertBears(t *testing.T, address string, clients int, behave func(*platformtest.CrowdClient)) {
	t.Helper()
	vm.assertBearsCrowd(t, func() *platformtest.Crowd { return platformtest.StartCrowd(t, address, clients, behave) })
}

// assertBearsCrowd is assertBears with the function that starts the crowd.
func (vm *crowdVM) assertBearsCrowd(t *testing.T, start func() *platformtest.Crowd) {
	t.Helper()
	observer := platformtest.Observe(vm.command.Process.Pid, vm.Clients, vm.Ready, vm.Peers, linksAddress(vm.Addresses))
	crowd := start()
	vm.assertServes(t)
	crowd.Stop()
	vm.assertServes(t)
	usage := observer.Stop(t)
	t.Logf("%+v", usage)
	assert.Check(t, usage.TotalMB() < crowdMemoryMB, "%+v", usage)
	assert.Check(t, usage.Descriptors < vm.maxFDs, "%+v", usage)
}

// assertServes checks that ordinary requests are answered on all addresses.
func (vm *crowdVM) assertServes(t *testing.T) {
	t.Helper()
	assertNewConnectionServes(t, vm.url+"/g/x")
	vm.assertOpenConnectionServes(t)
	assertNewConnectionServes(t, "http://"+vm.Ready+platformtest.ReadyPath)
	assertNewConnectionServes(t, vm.peerURL+"/debug/vars")
}

// crowdCase is a kind of crowd.
type crowdCase struct {
	name    string
	clients int
	maxFDs  int
	behave  func(*platformtest.CrowdClient)
}

// playCrowds plays each crowd on a VM of its own.
func playCrowds(t *testing.T, address func(platformtest.Addresses) string, cases []crowdCase) {
	binary := build(t)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			vm := startCrowdVM(t, binary, test.maxFDs)
			vm.assertBears(t, address(vm.Addresses), test.clients, test.behave)
		})
	}
}

const (
	enoughFDs   = 4100
	headBytes   = 900 << 10 // of a head far beyond the limit
	limitBytes  = 31 << 10  // of a head inside the limit, besides its first lines
	bodyBytes   = 200 << 10 // of a body inside the limit
	pushedBytes = 1 << 20   // sent behind a request, or as parts of a body that do not count as its content
)

func clientsAddress(addresses platformtest.Addresses) string { return addresses.Clients }
func readyAddress(addresses platformtest.Addresses) string   { return addresses.Ready }
func peersAddress(addresses platformtest.Addresses) string   { return addresses.Peers }

func linksAddress(addresses platformtest.Addresses) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(addresses.InternalPort))
}

// headCrowds are crowds that send heads, on any address that speaks HTTP.
func headCrowds(path string) []crowdCase {
	return []crowdCase{
		{"a line without end", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send("GET " + path)
			client.Repeat("x", headBytes)
		}},
		{"fields without end", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, path, client.Number) + platformtest.Fields(headBytes))
		}},
		{"empty lines", someClients, enoughFDs, func(client *platformtest.CrowdClient) { client.Repeat("\r\n", headBytes) }},
		{"heads inside the limit", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, path, client.Number) + platformtest.Fields(limitBytes))
		}},
		{"silent", moreThanFDs, crowdFDs, func(*platformtest.CrowdClient) {}},
		{"one byte", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) { client.Send("G") }},
		{"idle", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, path, client.Number) + "\r\n")
			client.Await()
		}},
		{"answers not read", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Repeat(platformtest.RequestHead(http.MethodGet, path, client.Number)+"\r\n", pushedBytes)
		}},
		{"a body that does not arrive", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, path, client.Number) + "Content-Length: 100000\r\n\r\n")
		}},
	}
}

// TestCrowdHeads guards against clients whose heads, or connections without one, use up a VM's memory or descriptors: net/http bounds each
// connection, at 1 MB, and nothing bounds all of them.
func TestCrowdHeads(t *testing.T) { playCrowds(t, clientsAddress, headCrowds("/g/x")) }

// TestCrowdReady is TestCrowdHeads on the address of the load balancer.
func TestCrowdReady(t *testing.T) { playCrowds(t, readyAddress, headCrowds(platformtest.ReadyPath)) }

// TestCrowdPeers is TestCrowdHeads on the address for other VMs.
func TestCrowdPeers(t *testing.T) { playCrowds(t, peersAddress, headCrowds("/debug/dump")) }

// TestCrowdRequests guards against clients that use up a VM after their heads have arrived, with bodies, bytes that are part of no request, answers.
func TestCrowdRequests(t *testing.T) {
	slow := func(client *platformtest.CrowdClient, fields string) bool {
		return client.Send(platformtest.RequestHead(http.MethodGet, "/slow/x", client.Number) + fields + "\r\n")
	}
	post := func(client *platformtest.CrowdClient, fields string) bool {
		return client.Send(platformtest.RequestHead(http.MethodPost, "/slow/x", client.Number) + fields + "\r\n")
	}
	playCrowds(t, clientsAddress, []crowdCase{
		{"complete heads", manyClients, enoughFDs, func(client *platformtest.CrowdClient) { slow(client, platformtest.Fields(limitBytes)) }},
		{"complete heads of a gather", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, "/g/x", client.Number) + platformtest.Fields(limitBytes) + "\r\n")
		}},
		{"complete heads of one field", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodGet, "/g/x", client.Number) + "X-Long: " + strings.Repeat("y", limitBytes) + "\r\n\r\n")
		}},
		{"heads below the limit of large requests", manyClients, enoughFDs, func(client *platformtest.CrowdClient) { slow(client, platformtest.Fields(2<<10)) }},
		{"waiting requests", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) { slow(client, "") }},
		{"bytes behind a request", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			slow(client, "")
			client.Repeat("x", pushedBytes)
		}},
		{"requests behind a request", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Repeat(platformtest.RequestHead(http.MethodGet, "/slow/x", client.Number)+"\r\n", pushedBytes)
		}},
		{"half-closed", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) {
			slow(client, "")
			_ = client.CloseWrite()
		}},
		{"bodies", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			post(client, "Content-Length: 262144\r\n")
			client.Repeat("x", bodyBytes)
		}},
		{"awaiting 100 Continue", moreThanFDs, crowdFDs, func(client *platformtest.CrowdClient) { post(client, "Content-Length: 9\r\nExpect: 100-continue\r\n") }},
		{"a chunk extension", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			post(client, "Transfer-Encoding: chunked\r\n")
			client.Send("1;")
			client.Repeat("x", pushedBytes)
		}},
		{"chunks of one byte", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			post(client, "Transfer-Encoding: chunked\r\n")
			client.Repeat("1;extension\r\nx\r\n", pushedBytes)
		}},
		{"trailers", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			post(client, "Transfer-Encoding: chunked\r\n")
			client.Send("0\r\n" + platformtest.Fields(pushedBytes))
		}},
		{"answers not read", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Repeat(platformtest.RequestHead(http.MethodGet, "/slow/large", client.Number)+"\r\n", 2<<10)
		}},
		{"many names", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			for i := range 50 {
				name := fmt.Sprintf("%d-%d", client.Number, i)
				if !client.Send("GET /g/"+name+" HTTP/1.1\r\nHost: "+name+".example\r\nX-Request-Id: "+name+"\r\nAuthorization: Bearer "+name+"\r\n\r\n") || !client.Await() {
					return
				}
			}
		}},
		{"malformed requests", someClients, enoughFDs, func(client *platformtest.CrowdClient) { client.Send("GET /g/x HTTP/9.9\r\n" + "\x00\r\n\r\n") }},
		{"connections that come and go", someClients, enoughFDs, func(client *platformtest.CrowdClient) {
			for range 20 {
				if conn, err := net.Dial("tcp", client.RemoteAddr().String()); err == nil {
					_ = conn.Close()
				}
			}
		}},
		{"reset after sending", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			slow(client, platformtest.Fields(limitBytes))
			_ = client.SetLinger(0)
			_ = client.Close()
		}},
	})
}

// TestCrowdLinks guards against connections to the address for links that use up a VM before they have said who they are.
func TestCrowdLinks(t *testing.T) {
	playCrowds(t, linksAddress, []crowdCase{
		{"silent", manyClients, enoughFDs, func(*platformtest.CrowdClient) {}},
		{"silent beyond the descriptors", moreThanFDs, crowdFDs, func(*platformtest.CrowdClient) {}},
		{"half of a message", manyClients, enoughFDs, func(client *platformtest.CrowdClient) {
			client.Send("\xa0\x1f") // the length of a message of 4,000 bytes
			client.Repeat("x", 3900)
		}},
	})
}

// TestCrowdEverywhere guards against crowds that each listener bears, and that are too much together.
func TestCrowdEverywhere(t *testing.T) {
	vm := startCrowdVM(t, build(t), enoughFDs)
	var crowds []*platformtest.Crowd
	for path, address := range map[string]string{"/slow/x": vm.Clients, platformtest.ReadyPath: vm.Ready, "/debug/dump": vm.Peers} {
		crowds = append(crowds, platformtest.StartCrowd(t, address, someClients, func(client *platformtest.CrowdClient) {
			client.Send(platformtest.RequestHead(http.MethodPost, path, client.Number) + platformtest.Fields(limitBytes) + "Content-Length: 262144\r\n\r\n")
			client.Repeat("x", bodyBytes)
		}))
	}
	crowds = append(crowds, platformtest.StartCrowd(t, linksAddress(vm.Addresses), someClients, func(client *platformtest.CrowdClient) {
		client.Send("\xa0\x1f" + strings.Repeat("x", 3900))
	}))
	defer func() {
		for _, crowd := range crowds {
			crowd.Stop()
		}
	}()
	vm.assertBears(t, vm.Clients, manyClients, func(client *platformtest.CrowdClient) {
		client.Send(platformtest.RequestHead(http.MethodGet, "/slow/x", client.Number) + platformtest.Fields(limitBytes) + "\r\n")
	})
}

// TestCrowdReturning guards against clients that come back as soon as their connection has ended.
func TestCrowdReturning(t *testing.T) {
	head := platformtest.RequestHead(http.MethodGet, "/slow/x", 0)
	playReturning(t, map[string]string{"silent": "", "heads inside the limit": head + platformtest.Fields(limitBytes),
		"complete heads": head + platformtest.Fields(limitBytes) + "\r\n", "malformed requests": "x\r\n\r\n", "requests": head + "\r\n"})
}

// TestCrowdReturningLargeHeads is TestCrowdReturning with heads over the limit.
func TestCrowdReturningLargeHeads(t *testing.T) {
	playReturning(t, map[string]string{"heads over the limit": platformtest.RequestHead(http.MethodGet, "/slow/x", 0) + platformtest.Fields(headBytes)})
}

// playReturning plays crowds of clients that send a text on one connection after another.
func playReturning(t *testing.T, texts map[string]string) {
	t.Helper()
	binary := build(t)
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			vm := startCrowdVM(t, binary, enoughFDs)
			var stopped atomic.Bool
			defer stopped.Store(true)
			vm.assertBearsCrowd(t, func() *platformtest.Crowd {
				return platformtest.StartCrowdFor(t, vm.Clients, returningClients, returningTime, func(client *platformtest.CrowdClient) { client.Return(&stopped, text) })
			})
		})
	}
}

// TestCrowdOfOne guards against limits that refuse a single client which keeps to the configuration's.
func TestCrowdOfOne(t *testing.T) {
	vm := startCrowdVM(t, build(t), crowdFDs)
	head := platformtest.RequestHead(http.MethodGet, "/g/x", 0) + platformtest.Fields(limitBytes) + "\r\n"
	for name, pause := range map[string]time.Duration{"at once": 0, "in halves": 4 * time.Second} {
		t.Run("a head of 32 KB "+name, func(t *testing.T) {
			conn, err := net.Dial("tcp", vm.Clients)
			assert.NilError(t, err)
			defer conn.Close()
			for _, half := range []string{head[:len(head)/2], head[len(head)/2:]} {
				_, err = conn.Write([]byte(half))
				assert.NilError(t, err)
				time.Sleep(pause)
			}
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(startTimeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
	t.Run("a body of the largest size", func(t *testing.T) {
		request := platformtest.NewRequest(t, http.MethodPost, vm.url+"/g/x", make([]byte, 256<<10))
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	})
}
