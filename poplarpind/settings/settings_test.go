package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/settings"
)

const good = `name: vm1
failureDomain: sohar
peerAddress: 127.0.0.1:7101
callerAddress: 127.0.0.1:7201
operatorAddress: 127.0.0.1:7301
platform: http://127.0.0.1:7001
`

func assertRefused(t *testing.T, text, want string) {
	t.Helper()
	_, err := settings.Parse("vm.yaml", []byte(text))
	assert.ErrorContains(t, err, want)
	assert.ErrorContains(t, err, "vm.yaml")
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		parsed, err := settings.Parse("vm.yaml", []byte(good))
		assert.NilError(t, err)
		assert.Equal(t, parsed.Mode, settings.Owner)
		assert.Equal(t, *parsed.Extra, settings.DefaultExtra)
		assert.Equal(t, parsed.DrainWait.Std(), settings.DefaultDrainWait)
	})
	cases := []struct{ name, text, want string }{
		{"unknown key", good + "colour: red\n", "line 7"},
		{"name", strings.Replace(good, "vm1", "VM 1", 1), "vm.yaml:1"},
		{"host name", strings.Replace(good, "127.0.0.1:7201", "host:7201", 1), "vm.yaml:4"},
		{"platform", strings.Replace(good, "http://127.0.0.1:7001", "nowhere", 1), "vm.yaml:6"},
		{"mode", good + "mode: both\n", "vm.yaml:7"},
		{"drain wait", good + "drainWait: 20m\n", "vm.yaml:7"},
		{"extra", good + "extra: -1\n", "vm.yaml:7"},
		{"operators without TLS", good + "operators: [ana]\n", "vm.yaml:7"},
		{"half TLS", good + "tls: {certificate: a}\n", "vm.yaml:7"},
		{"malformed", "name: [", "yaml"},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) { assertRefused(t, each.text, each.want) })
	}
}
