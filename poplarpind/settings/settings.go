package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/config"
)

// Mode defines which VMs call a target and within which limits.
type Mode string

// The modes.
const (
	Owner  Mode = "owner"  // only a target's owner calls it
	Split  Mode = "split"  // each VM calls every target within a share of the target's limits
	Direct Mode = "direct" // each VM calls every target, with no limits on calls in flight, no classes, no hedges and no retries
)

// Defaults of omitted settings.
const (
	DefaultDrainWait = 5 * time.Second
	DefaultExtra     = 1
	DefaultMemory    = 256 << 20 // bytes
)

const (
	minMemory      = 128 << 20 // bytes; a release note of the largest size fits into the part for operators
	minDescriptors = 256
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// TLS holds the paths of PEM files with key and certificates, which are reloaded when they change.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"` // CA that signs the certificates of entry VMs and operators
}

// Settings holds the settings of one entry VM's process.
type Settings struct {
	Name            string          `yaml:"name"`
	FailureDomain   string          `yaml:"failureDomain"`
	PeerAddress     string          `yaml:"peerAddress"`
	CallerAddress   string          `yaml:"callerAddress"`
	OperatorAddress string          `yaml:"operatorAddress"`
	Platform        string          `yaml:"platform"`
	Mode            Mode            `yaml:"mode"`
	Extra           *int            `yaml:"extra"` // calls in flight at a target beyond its slots
	NoHedge         bool            `yaml:"noHedge"`
	DrainWait       config.Duration `yaml:"drainWait"`    // time after a planned stop begins in which new requests are still accepted
	PlainCallers    bool            `yaml:"plainCallers"` // plain HTTP on the caller address even if TLS is configured
	Log             string          `yaml:"log"`
	MemoryBytes     int64           `yaml:"memoryBytes"`    // of the process, 0 for the default; callers, operators and unknown peers share a part of it
	MaxDescriptors  int             `yaml:"maxDescriptors"` // open files and sockets of the process; 0 for the kernel's limit
	Operators       []string        `yaml:"operators"`      // certificate names that may apply release notes; requires TLS
	TLS             *TLS            `yaml:"tls"`
}

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Unreadable Kind = "unreadable"
	Invalid    Kind = "invalid"
)

// Error reports an unreadable or invalid setting.
type Error struct {
	Op     string
	Kind   Kind
	Field  string
	Detail string
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s: %s", err.Op, err.Kind, err.Field, err.Detail)
}

// Load reads and validates the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "settings", Kind: Unreadable, Field: "file", Detail: err.Error()}
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; its errors name file, line and field.
func Parse(file string, data []byte) (Settings, error) {
	settings := Settings{Mode: Owner, Log: "info", DrainWait: config.Duration(DefaultDrainWait)}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return settings, &Error{Op: file, Kind: Unreadable, Field: "yaml", Detail: strings.ReplaceAll(err.Error(), "\n", "")}
	}
	if settings.Extra == nil {
		extra := DefaultExtra
		settings.Extra = &extra
	}
	if settings.MemoryBytes == 0 {
		settings.MemoryBytes = DefaultMemory
	}
	if field, detail := settings.validate(); field != "" {
		return settings, &Error{Op: fmt.Sprintf("%s:%d", file, lineOf(data, field)), Kind: Invalid, Field: field, Detail: detail}
	}
	return settings, nil
}

// validate returns an invalid field and the reason, or an empty field if all are valid.
func (settings *Settings) validate() (field, detail string) {
	for field, name := range map[string]string{"name": settings.Name, "failureDomain": settings.FailureDomain} {
		if !namePattern.MatchString(name) {
			return field, fmt.Sprintf("%.70q must match %s", name, namePattern)
		}
	}
	addresses := map[string]string{"peerAddress": settings.PeerAddress,
		"callerAddress": settings.CallerAddress, "operatorAddress": settings.OperatorAddress}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return field, fmt.Sprintf("%q is not an IP address and port", address)
		}
	}
	if platform, err := url.Parse(settings.Platform); err != nil || platform.Host == "" {
		return "platform", fmt.Sprintf("%q is not a URL", settings.Platform)
	}
	switch settings.Mode {
	case Owner, Split, Direct:
	default:
		return "mode", fmt.Sprintf("%q is not owner, split or direct", settings.Mode)
	}
	if *settings.Extra < 0 || *settings.Extra > 1024 {
		return "extra", fmt.Sprintf("%d is not in [0, 1024]", *settings.Extra)
	}
	if wait := settings.DrainWait.Std(); wait < 0 || wait > 10*time.Minute {
		return "drainWait", fmt.Sprintf("%s is not in [0s, 10m]", wait)
	}
	if settings.MemoryBytes < minMemory {
		return "memoryBytes", fmt.Sprintf("%d is less than %d", settings.MemoryBytes, minMemory)
	}
	if settings.MaxDescriptors < 0 || settings.MaxDescriptors > 0 && settings.MaxDescriptors < minDescriptors {
		return "maxDescriptors", fmt.Sprintf("%d is less than %d", settings.MaxDescriptors, minDescriptors)
	}
	return settings.validateTLS()
}

// validateTLS validates the TLS settings and those that require them.
func (settings *Settings) validateTLS() (field, detail string) {
	if settings.TLS == nil {
		if len(settings.Operators) > 0 {
			return "operators", "certificate names require tls"
		}
		return "", ""
	}
	if settings.TLS.Certificate == "" || settings.TLS.Key == "" || settings.TLS.Authority == "" {
		return "tls", "certificate, key and authority are required"
	}
	return "", ""
}

// lineOf returns the line number of a top-level field, or 1 if the field is absent.
func lineOf(data []byte, field string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, field+":") {
			return i + 1
		}
	}
	return 1
}
