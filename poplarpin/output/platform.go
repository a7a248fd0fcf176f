package output

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"poplarpin.dev/poplarpin/inspect"
)

func writeConfig(table io.Writer, config inspect.Config) {
	fmt.Fprintf(table, "version\t%d\nroutes\t%d\nservices\t%d\naccounts\t%d\n", config.Version, config.Routes, config.Services, config.Accounts)
	for _, problem := range config.Problems {
		fmt.Fprintf(table, "problem\t%s\n", problem)
	}
}

func writeFleet(table io.Writer, fleet inspect.Fleet) {
	fmt.Fprintln(table, "VM\tDOMAIN\tBUILD\tCAN\tVERSION\tREADY\tUPDATES FROM\tVIEW AGE\tTARGETS\tBEHIND")
	for _, vm := range fleet {
		if vm.Error != "" {
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t-\t-\t-\tunknown: %s\n", vm.Peer, vm.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\t%s\t%s\t%d\t%s\n", vm.Name, vm.FailureDomain, cmp.Or(vm.Build, "none"), cmp.Or(strings.Join(vm.Capabilities, ","), "none"), vm.Version, vm.Ready, updatesFrom(vm), viewAge(vm),
			vm.Targets, strings.Join(vm.Behind, "; "))
	}
	for _, vm := range fleet {
		writeSection(table, vm.Name, "quotas", vm.Quotas)
		writeSection(table, vm.Name, "evacuations", vm.Evacuations)
	}
}

// updatesFrom returns where a VM gets changes of the store from.
func updatesFrom(vm inspect.VM) string {
	switch {
	case vm.WatchingStore && vm.Source != "":
		return "store, " + vm.Source
	case vm.WatchingStore:
		return "store"
	case vm.Source != "":
		return vm.Source
	}
	return "none"
}

func viewAge(vm inspect.VM) string {
	if vm.ViewAge == 0 {
		return "none"
	}
	return vm.ViewAge.String()
}

func writeSection(table io.Writer, vm, name string, section json.RawMessage) {
	for _, row := range inspect.Rows(section) {
		fmt.Fprintf(table, "%s\t%s\t%s\n", vm, name, row)
	}
}
