package upgrade

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"poplarpin.dev/core/corpustest"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// messagesProgram is compiled into a build of a commit, so that the build's own code encodes the messages.
//
//go:embed messages.go.txt
var messagesProgram []byte

// savingTime is how long a VM may take to write to the store that a request has crashed its targets. Builds before 0fcc62c do not.
const savingTime = 5 * time.Second

// The request that crashes its targets is sent several times, as it is guilty only if it crashes them one after the other.
const (
	crashingRequests = 10
	crashInterval    = 700 * time.Millisecond
)

// crashPath is the path of requests that crash the targets of the recorded build.
const crashPath = "/g/crash"

// RecordedModules are the folders of the packages that read recordings: of messages, objects, state and dump.
var RecordedModules = []string{messagesModule, objectsModule, stateModule, dumpModule}

const (
	messagesModule = "core/rpc"
	objectsModule  = "platform"
	stateModule    = "poplarpind/gateway"
	dumpModule     = "poplarpin/inspect"
)

// Record writes messages, objects, state and dump of a build to the test data of the modules that read them.
func Record(repository, commit, folder string) error {
	source, err := Checkout(repository, commit, folder)
	if err != nil {
		return err
	}
	defer source.Remove()
	program, err := source.Program()
	if err != nil {
		return err
	}
	command := filepath.Join(source.Folder, "poplarpind", "corpus")
	if err := os.Mkdir(command, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(command, "main.go"), messagesProgram, 0o600); err != nil {
		return err
	}
	messages, err := source.Go("poplarpind", "run", "./corpus")
	if err != nil {
		return err
	}
	recorded := map[string][]byte{messagesModule: []byte(messages)}
	scope := &scope{}
	if err := scope.run(func() error { return recordProcess(scope, program, folder, recorded) }); err != nil {
		return err
	}
	for module, data := range recorded {
		path := filepath.Join(repository, module, corpustest.Folder, commit+".json")
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// recordProcess records the objects that a VM of the build keeps in the store, after a request has crashed its targets, and its state and dump.
func recordProcess(t platformtest.T, program, folder string, recorded map[string][]byte) error {
	deployment, err := newDeployment(t, folder)
	if err != nil {
		return err
	}
	for _, id := range []string{"s1-a", "s1-b", "s2-a", "s2-b"} {
		deployment.targets[id].CrashOn(crashPath)
	}
	deployment.vms = deployment.vms[:1]
	vm, done := deployment.vms[0], make(chan struct{})
	defer close(done)
	go vm.balance(done)
	if err := deployment.startAll(program); err != nil {
		return err
	}
	for range crashingRequests {
		request := platformtest.NewRequest(t, http.MethodGet, "http://"+vm.Clients+crashPath, nil)
		platformtest.SetKey(request, freeKey)
		if response, err := vm.client.Do(request); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(crashInterval)
	}
	time.Sleep(savingTime)
	objects := map[string]map[string]json.RawMessage{}
	for _, kind := range []string{platform.VMsKind, platform.QuarantinesKind} {
		objects[kind] = deployment.store.Specs(kind)
	}
	if recorded[objectsModule], err = json.MarshalIndent(objects, "", " "); err != nil {
		return err
	}
	for module, path := range map[string]string{stateModule: "/state", dumpModule: "/debug/dump"} {
		response, err := http.Get("http://" + vm.Peers + path)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		recorded[module] = data
	}
	return nil
}
