package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpind/certificate/certificatetest"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/testbed/fleet"
)

const (
	ownMemoryMB  = 256 // of a VM, docs/CAPACITY.md
	ownFDs       = 700
	queryTimeout = 30 * time.Second
)

// ownCrowd is a kind of crowd on the own interface.
type ownCrowd struct {
	name    string
	address func(*fleet.VM) string
	clients int
	maxFDs  int // 0 for no limit
	behave  func(*platformtest.CrowdClient)
}

func callers(vm *fleet.VM) string   { return vm.CallerAddress }
func operators(vm *fleet.VM) string { return vm.OperatorAddress }
func links(vm *fleet.VM) string     { return vm.PeerAddress }

// buildWithoutRace builds the programs as they are used, since the race detector takes up several times the memory.
func buildWithoutRace(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	output, err := exec.Command("go", "build", "-o", folder, "poplarpin.dev/poplarpind", "poplarpin.dev/standin").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return folder
}

// assertQueryServed sends an ordinary query as often as a caller tries it.
func assertQueryServed(t *testing.T, caller *client.Client, id string) {
	t.Helper()
	var answer api.Answer
	var err error
	for end := time.Now().Add(queryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answer, err = caller.Query(context.Background(), api.Request{ID: id, Service: "heat", Class: "alarm", Query: "shed"})
		if err == nil && answer.Outcome == api.Complete {
			return
		}
	}
	t.Fatal("an ordinary query: ", answer.Outcome, err)
}

// playOwnCrowds plays crowds on a VM of a fleet, which serves an ordinary query beside each of them and after it, within its memory and descriptors.
func playOwnCrowds(t *testing.T, options fleet.Options, crowds []ownCrowd) {
	t.Helper()
	options.Bin = buildWithoutRace(t)
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			options.Folder, options.DrainWait, options.Seed, options.MaxDescriptors = t.TempDir(), time.Second, 1, crowd.maxFDs
			running, err := fleet.Start(fleet.Demo(), options)
			assert.NilError(t, err)
			t.Cleanup(running.Stop)
			assert.NilError(t, running.ApplyTopology())
			vm := running.VMs[0]
			caller := vm.CallerClient()
			assertQueryServed(t, caller, "before")
			observer := platformtest.Observe(vm.PID(), vm.CallerAddress, vm.OperatorAddress, vm.PeerAddress)
			clients := platformtest.StartCrowd(t, crowd.address(vm), crowd.clients, crowd.behave)
			assertQueryServed(t, caller, "beside")
			assertQueryServed(t, vm.CallerClient(), "besideNew")
			clients.Stop()
			assertQueryServed(t, vm.CallerClient(), "after")
			usage := observer.Stop(t)
			t.Logf("%+v", usage)
			assert.Check(t, usage.TotalMB() < ownMemoryMB, "%+v", usage)
			assert.Check(t, crowd.maxFDs == 0 || usage.Descriptors < crowd.maxFDs, "%+v", usage)
		})
	}
}

// TestCrowdOwnInterface guards against callers, operators and strangers who use up a VM's memory or descriptors on the own interface.
func TestCrowdOwnInterface(t *testing.T) {
	var crowds []ownCrowd
	for name, address := range map[string]func(*fleet.VM) string{"callers": callers, "operators": operators} {
		crowds = append(crowds,
			ownCrowd{name + ": fields without end", address, 300, 0, func(client *platformtest.CrowdClient) {
				client.Send(platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number) + platformtest.Fields(900<<10))
			}},
			ownCrowd{name + ": heads inside the limit", address, 3500, 0, func(client *platformtest.CrowdClient) {
				client.Send(platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number) + platformtest.Fields(31<<10))
			}},
			ownCrowd{name + ": silent", address, 900, ownFDs, func(*platformtest.CrowdClient) {}},
			ownCrowd{name + ": bodies", address, 300, 0, func(client *platformtest.CrowdClient) {
				client.Send(platformtest.RequestHead(http.MethodPost, "/v1/diff", client.Number) + "Content-Length: 8000000\r\n\r\n")
				client.Repeat("x", 1<<20)
			}},
			ownCrowd{name + ": requests behind a request", address, 300, 0, func(client *platformtest.CrowdClient) {
				body := `{"id":"behind","service":"heat","class":"alarm","query":"shed"}`
				client.Repeat(platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number)+
					fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 256<<10)
			}},
			ownCrowd{name + ": answers not read", address, 300, 0, func(client *platformtest.CrowdClient) {
				client.Repeat(platformtest.RequestHead(http.MethodGet, "/debug/vars", client.Number)+"\r\n", 64<<10)
			}},
			ownCrowd{name + ": queries", address, 3500, 0, func(client *platformtest.CrowdClient) {
				client.Send(platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number) + "Content-Length: 60000\r\n\r\n")
				client.Repeat("x", 59<<10)
			}})
	}
	crowds = append(crowds,
		ownCrowd{"links: silent", links, 3000, 0, func(*platformtest.CrowdClient) {}},
		ownCrowd{"links: silent beyond the descriptors", links, 900, ownFDs, func(*platformtest.CrowdClient) {}},
		ownCrowd{"links: half of a message", links, 3000, 0, func(client *platformtest.CrowdClient) { client.Send("\xa0\x1f" + strings.Repeat("x", 3900)) }})
	playOwnCrowds(t, fleet.Options{}, crowds)
}

// TestCrowdSecured is TestCrowdOwnInterface with TLS, whose connections take up more.
func TestCrowdSecured(t *testing.T) {
	folder, hour := t.TempDir(), time.Now().Add(time.Hour)
	authority, err := certificatetest.New()
	assert.NilError(t, err)
	issue := func(name string) (*settings.TLS, error) { return authority.Issue(folder, name, hour, time.Now()) }
	files, err := issue("ana")
	assert.NilError(t, err)
	secured := func(client *platformtest.CrowdClient) *tls.Conn {
		conn := tls.Client(client, &tls.Config{InsecureSkipVerify: true})
		_ = client.SetDeadline(time.Now().Add(queryTimeout))
		_ = conn.Handshake() // fails on a connection that the VM has closed
		return conn
	}
	playOwnCrowds(t, fleet.Options{TLS: &fleet.TLSOptions{Issue: issue, Callers: true, Operators: []string{"ana"},
		Operator: client.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}}}, []ownCrowd{
		{"callers: idle", callers, 1500, 0, func(client *platformtest.CrowdClient) { secured(client) }},
		{"callers: idle beyond the descriptors", callers, 900, ownFDs, func(client *platformtest.CrowdClient) { secured(client) }},
		{"callers: heads inside the limit", callers, 1500, 0, func(client *platformtest.CrowdClient) {
			_, _ = fmt.Fprint(secured(client), platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number)+platformtest.Fields(31<<10))
		}},
		{"callers: fields without end", callers, 300, 0, func(client *platformtest.CrowdClient) {
			_, _ = fmt.Fprint(secured(client), platformtest.RequestHead(http.MethodPost, "/v1/query", client.Number)+platformtest.Fields(900<<10))
		}},
		{"callers: silent", callers, 3000, 0, func(*platformtest.CrowdClient) {}},
		{"operators: half of a handshake", operators, 3000, 0, func(client *platformtest.CrowdClient) {
			client.Send(string(bytes.Join([][]byte{{0x16, 3, 1, 0x3f, 0xff}, make([]byte, 16000)}, nil)))
		}},
		{"links: silent", links, 3000, 0, func(*platformtest.CrowdClient) {}},
	})
}
