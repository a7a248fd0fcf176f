package inspect

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
)

// VM is what the dump of an entry VM says of its view of the store.
type VM struct {
	Peer          string          `json:"peer"` // address that was asked
	Name          string          `json:"vm,omitempty"`
	FailureDomain string          `json:"failureDomain,omitempty"`
	Build         string          `json:"build,omitempty"`        // empty for the first builds
	Capabilities  []string        `json:"capabilities,omitempty"` // that the VM names to others
	Version       int64           `json:"version,omitempty"`      // of the configuration; 0 for none
	Ready         bool            `json:"ready"`
	WatchingStore bool            `json:"watching"`
	Source        string          `json:"source,omitempty"`
	ViewAge       config.Duration `json:"viewAge,omitempty"` // 0 if the VM never had a view of the store
	Targets       int             `json:"targets"`
	Behind        []string        `json:"behind,omitempty"` // why the VM's view is behind; empty if it is not
	Quotas        json.RawMessage `json:"quotas,omitempty"`
	Evacuations   json.RawMessage `json:"evacuations,omitempty"`
	Error         string          `json:"error,omitempty"` // why there is no dump
}

// Fleet holds the VMs that were asked, in the order of the addresses.
type Fleet []VM

// ReadVM summarizes the dump of the VM at a peer address.
func ReadVM(peer string, dump []byte) VM {
	var decoded struct {
		VM
		Endpoints []struct {
			Service string `json:"service"`
		} `json:"servers"`
	}
	if err := json.Unmarshal(dump, &decoded); err != nil {
		return VM{Peer: peer, Error: "dump: " + err.Error()}
	}
	vm := decoded.VM
	vm.Peer = peer
	for _, endpoint := range decoded.Endpoints {
		if !strings.HasPrefix(endpoint.Service, fanout.RelayService("")) {
			vm.Targets++
		}
	}
	return vm
}

// MarkBehind notes which VMs have an older configuration than another, or a view older than maxViewAge.
func (fleet Fleet) MarkBehind(maxViewAge time.Duration) {
	newest := int64(0)
	for _, vm := range fleet {
		newest = max(newest, vm.Version)
	}
	for i := range fleet {
		vm := &fleet[i]
		if vm.Error != "" {
			continue
		}
		if vm.Version < newest {
			vm.Behind = append(vm.Behind, fmt.Sprintf("version %d is in force elsewhere", newest))
		}
		if vm.ViewAge == 0 {
			vm.Behind = append(vm.Behind, "never heard of the store")
		} else if vm.ViewAge.Std() > maxViewAge {
			vm.Behind = append(vm.Behind, fmt.Sprintf("view older than %s", maxViewAge))
		}
	}
}

// Unread returns the number of VMs without a dump.
func (fleet Fleet) Unread() int {
	count := 0
	for _, vm := range fleet {
		if vm.Error != "" {
			count++
		}
	}
	return count
}

// Rows splits a section of a dump, whatever its form, into one line for each element of a list or field of an object.
func Rows(section json.RawMessage) []string {
	var list []json.RawMessage
	if json.Unmarshal(section, &list) == nil {
		rows := make([]string, len(list))
		for i, element := range list {
			rows[i] = compact(element)
		}
		return rows
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(section, &fields) == nil {
		var rows []string
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			rows = append(rows, name+" "+compact(fields[name]))
		}
		return rows
	}
	if len(section) == 0 {
		return nil
	}
	return []string{compact(section)}
}

func compact(value json.RawMessage) string {
	var line bytes.Buffer
	if json.Compact(&line, value) != nil {
		return string(value)
	}
	return line.String()
}
