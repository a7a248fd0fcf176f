package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (logBuffer *logBuffer) Write(line []byte) (int, error) {
	logBuffer.mu.Lock()
	defer logBuffer.mu.Unlock()
	return logBuffer.lines.Write(line)
}

func (logBuffer *logBuffer) String() string {
	logBuffer.mu.Lock()
	defer logBuffer.mu.Unlock()
	return logBuffer.lines.String()
}

func newLog() (*zap.Logger, *logBuffer) {
	buffer := &logBuffer{}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(buffer), zap.DebugLevel)), buffer
}

// get returns what a VM serves to operators.
func (vm *vm) get(t *testing.T, path string) string {
	t.Helper()
	response, err := http.Get("http://" + vm.peerAddress + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

func containsAny(text string, parts ...string) bool {
	for _, part := range parts {
		if strings.Contains(text, part) {
			return true
		}
	}
	return false
}

// TestKeysStaySecret guards against a client's or the configuration's key in what operators read.
func TestKeysStaySecret(t *testing.T) {
	log, lines := newLog()
	vm, store, _ := startAccounts(t, log, account("alpha", "secret-1"), account("beta", "secret-1", "secret-2"), account("alpha", "secret-3"))
	for _, authorization := range []string{"Bearer secret-1", "Bearer secret-2", "Bearer secret-4", "Basic secret-5", "secret-6", "Bearer secret-7 x"} {
		for _, path := range []string{"/o/x", "/g/x", "/p/x", "/none/"} {
			vm.doWith(t, path, http.Header{"Authorization": {authorization}, "X-Tenant": {"secret-8"}})
		}
	}
	store.Put("config", "main", map[string]any{"version": 9, "tenants": []any{map[string]any{"name": "x", "api_keys": "secret-9"}}})
	waitFor(t, "the rejected configuration", func() bool { return strings.Contains(lines.String(), "configuration rejected") })
	for _, message := range []string{"account or key ignored", "request without a known key", "request ended"} {
		assert.Assert(t, strings.Contains(lines.String(), message), message)
	}
	for name, text := range map[string]string{"log": lines.String(), "vars": vm.get(t, "/debug/vars"), "dump": vm.get(t, "/debug/dump")} {
		assert.Assert(t, len(text) > 100, name)
		assert.Assert(t, !strings.Contains(text, "secret-"), "%s: %s", name, text)
	}
}
