package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// runCommand runs a command line and returns its output, one space between columns, and its error.
func runCommand(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	printed, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	assert.NilError(t, err)
	defer printed.Close()
	stdout := os.Stdout
	os.Stdout = printed
	defer func() { os.Stdout = stdout }()
	var cli cli
	parser, err := kong.New(&cli, kong.Vars{"version": "test"})
	assert.NilError(t, err)
	context, err := parser.Parse(arguments)
	assert.NilError(t, err)
	runErr := context.Run(&cli.globals)
	data, err := os.ReadFile(printed.Name())
	assert.NilError(t, err)
	lines := strings.Split(string(data), "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.TrimSpace(strings.Join(lines, "\n")), runErr
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "main.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func assertExit(t *testing.T, err error, code int) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, exitCode(err), code)
	assert.Assert(t, !strings.Contains(err.Error(), "secret"), err.Error())
}

// TestCheckConfig guards against a check that passes a configuration with problems, or that prints a key.
func TestCheckConfig(t *testing.T) {
	t.Run("a valid configuration is counted", func(t *testing.T) {
		printed, err := runCommand(t, "check-config", writeFile(t, platformtest.ConfigWithAccounts))
		assert.NilError(t, err)
		assert.Equal(t, printed, "version 7\nroutes 1\nservices 1\naccounts 2")
	})
	t.Run("each problem is printed without the key", func(t *testing.T) {
		text := strings.NewReplacer(`"secret-2"`, `"secret-1"`, `}]}`, `},{"name":"alpha","api_keys":["secret-3"]}]}`, `"service":"s"`, `"other":1`).Replace(platformtest.ConfigWithAccounts)
		printed, err := runCommand(t, "check-config", writeFile(t, text))
		assertExit(t, err, exitUsage)
		assert.Equal(t, printed, "version 7\nroutes 0\nservices 1\naccounts 2\n"+
			"problem table: invalid: account \"beta\": key 1 belongs to account \"alpha\" already\n"+
			"problem table: invalid: account \"alpha\": the name is used twice\n"+
			"problem table: invalid: route \"r\": no destination service")
	})
	t.Run("a configuration that VMs reject is an error", func(t *testing.T) {
		printed, err := runCommand(t, "check-config", writeFile(t, `{"tenants":[{"api_keys":"secret-1"}]}`))
		assertExit(t, err, exitUsage)
		assert.Equal(t, printed, "")
	})
}

// startDump starts a fake entry VM that serves a dump, and returns its peer address.
func startDump(t *testing.T, dump string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/debug/dump" {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = writer.Write([]byte(dump))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestVMs guards against a table that hides a VM whose view is behind, and against sections of dumps that are not shown.
func TestVMs(t *testing.T) {
	watcher := startDump(t, `{"vm":"vm-a1","failureDomain":"a","build":"1a2b3c4","capabilities":["namedTargets","later"],"version":9,"ready":true,"watching":true,"source":"","viewAge":"213ms",
"servers":[{"id":"i-1","service":"s"},{"id":"i-2","service":"s"},{"id":"vm-b1","service":"relay/b"}],
"quotas":{"pool":"vm-a1","accounts":[{"name":"alpha","tokens":1.5}]},"evacuations":["b"]}`)
	behind := startDump(t, `{"vm":"vm-b1","failureDomain":"b","version":8,"ready":true,"watching":false,"source":"vm-b2","viewAge":"7.5s","servers":[]}`)
	started := startDump(t, `{"vm":"vm-c1","failureDomain":"c","version":0,"servers":null}`)
	broken := startDump(t, `{"vm":7}`)
	t.Run("the table says who watches and who is behind", func(t *testing.T) {
		printed, err := runCommand(t, "vms", "--peer", watcher, "--peer", behind, "--peer", started)
		assert.NilError(t, err)
		assert.Equal(t, printed, `VM DOMAIN BUILD CAN VERSION READY UPDATES FROM VIEW AGE TARGETS BEHIND
vm-a1 a 1a2b3c4 namedTargets,later 9 true store 213ms 2
vm-b1 b none none 8 true vm-b2 7.5s 0 version 9 is in force elsewhere; view older than 5s
vm-c1 c none none 0 false none none 0 version 9 is in force elsewhere; never heard of the store
vm-a1 quotas accounts [{"name":"alpha","tokens":1.5}]
vm-a1 quotas pool "vm-a1"
vm-a1 evacuations "b"`)
	})
	t.Run("a VM that cannot be read is shown, and the command fails", func(t *testing.T) {
		printed, err := runCommand(t, "vms", "--peer", watcher, "--peer", broken, "--peer", "127.0.0.1:1")
		assertExit(t, err, exitFailed)
		assert.Equal(t, strings.Count(printed, "unknown: "), 2)
		assert.Assert(t, strings.Contains(printed, "vm-a1 a 1a2b3c4 namedTargets,later 9 true store"))
	})
	t.Run("JSON keeps the sections as they are", func(t *testing.T) {
		printed, err := runCommand(t, "vms", "--peer", watcher, "-o", "json")
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(printed, `"name": "alpha"`) && strings.Contains(printed, `"viewAge": "213ms"`), printed)
	})
}
