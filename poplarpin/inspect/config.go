package inspect

import (
	"encoding/json"

	"poplarpin.dev/platform"
)

// configObject is the name of the object that holds the configuration in the platform's store.
const configObject = "main"

// Config summarizes a configuration of the platform.
type Config struct {
	Version  int64    `json:"version"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Accounts int      `json:"accounts"`
	Problems []string `json:"problems"` // for which a VM leaves out a route, an account, a key or a quota
}

// CheckConfig checks the spec of the configuration's object; it returns an error if a VM would reject it as a whole.
func CheckConfig(spec []byte) (Config, error) {
	table, problems, err := platform.DecodeRouteTable(platform.Object{Name: configObject, Spec: json.RawMessage(spec)})
	if err != nil {
		return Config{}, err
	}
	config := Config{Version: table.Version, Routes: table.RouteCount(), Services: table.ServiceCount(), Accounts: len(table.Accounts()),
		Problems: make([]string, len(problems))}
	for i, problem := range problems {
		config.Problems[i] = problem.Error()
	}
	return config, nil
}
