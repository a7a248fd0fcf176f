package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/settings"
)

const valid = `name: vm1
failureDomain: sohar
peerAddress: 127.0.0.1:7101
callerAddress: 127.0.0.1:7201
operatorAddress: 127.0.0.1:7301
platform: http://127.0.0.1:7001
`

// assertRejected checks that Parse rejects a text with an error that names the file and contains want.
func assertRejected(t *testing.T, text, want string) {
	t.Helper()
	_, err := settings.Parse("vm.yaml", []byte(text))
	assert.ErrorContains(t, err, want)
	assert.ErrorContains(t, err, "vm.yaml")
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		parsed, err := settings.Parse("vm.yaml", []byte(valid))
		assert.NilError(t, err)
		assert.Equal(t, parsed.Mode, settings.Owner)
		assert.Equal(t, *parsed.Extra, settings.DefaultExtra)
		assert.Equal(t, parsed.DrainWait.Std(), settings.DefaultDrainWait)
	})
	cases := []struct{ name, text, want string }{
		{"unknown key", valid + "colour: red\n", "line 7"},
		{"name", strings.Replace(valid, "vm1", "VM 1", 1), "vm.yaml:1"},
		{"host name", strings.Replace(valid, "127.0.0.1:7201", "host:7201", 1), "vm.yaml:4"},
		{"platform", strings.Replace(valid, "http://127.0.0.1:7001", "nowhere", 1), "vm.yaml:6"},
		{"mode", valid + "mode: both\n", "vm.yaml:7"},
		{"drain wait", valid + "drainWait: 20m\n", "vm.yaml:7"},
		{"extra", valid + "extra: -1\n", "vm.yaml:7"},
		{"operators without TLS", valid + "operators: [ana]\n", "vm.yaml:7"},
		{"incomplete TLS settings", valid + "tls: {certificate: a}\n", "vm.yaml:7"},
		{"malformed", "name: [", "yaml"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) { assertRejected(t, each.text, each.want) })
	}
}
