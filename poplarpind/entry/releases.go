package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"poplarpin.dev/core/member"
	"poplarpin.dev/core/release"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/platform"
)

const (
	headObject         = "head"
	partPrefix         = "parts/"
	notePrefix         = "notes/"
	initialReadTimeout = 2 * time.Second // after which a starting VM continues without the platform
	pullTimeout        = time.Second
	maxWatchBackoff    = 5 * time.Second // upper limit of the mean delay after a failed watch
)

// loadInitialState reads the platform once at startup; peers or the watch supply later whatever could not be read.
func (vm *VM) loadInitialState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	if err := vm.readVMs(ctx); err != nil {
		vm.log.Warn("reading the platform's VM list at startup failed", zap.Error(err))
	}
	head, version, err := vm.readHead(ctx)
	if err == nil {
		err = vm.fetchRelease(ctx, head, version)
	}
	vm.recordPlatformState(err)
}

// readHead reads the head object and its version; an absent head is release 0.
func (vm *VM) readHead(ctx context.Context) (release.Head, int64, error) {
	found, err := vm.platform.Get(ctx, headObject)
	return decodeHead(found.Value, found.Version, err)
}

func decodeHead(value []byte, version int64, err error) (release.Head, int64, error) {
	var head release.Head
	if platform.KindOf(err) == platform.NotFound {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	return head, version, json.Unmarshal(value, &head)
}

// watchHead watches the platform for new heads while this VM is a watcher, with backoff after failures.
func (vm *VM) watchHead(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = 100*time.Millisecond, maxWatchBackoff
	for ctx.Err() == nil {
		delay := listInterval
		if vm.isWatcher() {
			err := vm.watchOnce(ctx)
			vm.recordPlatformState(err)
			if err == nil {
				retry.Reset()
				continue
			}
			delay = retry.NextBackOff()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func (vm *VM) watchOnce(ctx context.Context) error {
	vm.releases.RLock()
	seen := vm.releases.version
	vm.releases.RUnlock()
	found, err := vm.platform.Watch(ctx, headObject, seen)
	head, version, err := decodeHead(found.Value, found.Version, err)
	if err != nil || version == 0 {
		return err
	}
	return vm.fetchRelease(ctx, head, version)
}

// fetchRelease reads the parts of a head that this VM lacks from the platform and adopts the release.
func (vm *VM) fetchRelease(ctx context.Context, head release.Head, version int64) error {
	vm.releases.RLock()
	newer := head.Release > vm.releases.adopter.Release()
	missing := vm.releases.adopter.Missing(head)
	vm.releases.RUnlock()
	parts := map[release.Digest][]byte{}
	if newer {
		for _, digest := range missing {
			found, err := vm.platform.Get(ctx, partPrefix+string(digest))
			if err != nil {
				return err
			}
			parts[digest] = found.Value
		}
	}
	err := vm.adopt(head, parts, "platform")
	if err == nil {
		vm.releases.Lock()
		vm.releases.version = max(vm.releases.version, version)
		vm.releases.Unlock()
	}
	return err
}

// adopt puts a release in force if it is higher than the current one, and then announces it to peers.
func (vm *VM) adopt(head release.Head, parts map[release.Digest][]byte, from string) error {
	vm.releases.Lock()
	adopted, err := vm.releases.adopter.Adopt(head, parts)
	configuration := vm.releases.adopter.Configuration()
	if adopted {
		vm.releases.adopted = time.Now()
	}
	vm.releases.Unlock()
	if err != nil {
		vm.log.Error("release rejected", zap.Int64("release", head.Release), zap.String("from", from), zap.Error(err))
		return err
	}
	if !adopted {
		return nil
	}
	vm.owner.Configure(configuration)
	vm.retain(configuration)
	vm.members.Lock()
	vm.members.list.SetRelease(head.Release)
	vm.members.table.ClearRanks()
	outgoing := vm.members.list.AnnounceRelease()
	vm.members.Unlock()
	vm.deliver(outgoing)
	vm.report()
	vm.log.Info("release adopted", zap.Int64("release", head.Release), zap.String("from", from))
	return nil
}

// pullNewest pulls a newer release from the peer that has announced it; only one pull runs at a time.
func (vm *VM) pullNewest(ctx context.Context) {
	vm.members.Lock()
	newest, from := vm.members.list.NewestRelease()
	vm.members.Unlock()
	vm.releases.RLock()
	held := vm.releases.adopter.Release()
	vm.releases.RUnlock()
	if newest <= held || !vm.releases.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer vm.releases.pulling.Store(false)
		if err := vm.pull(ctx, from, held); err != nil {
			vm.members.Lock()
			vm.members.list.ForgetRelease(from.Name)
			vm.members.Unlock()
		}
	}()
}

func (vm *VM) pull(ctx context.Context, from member.Member, held int64) error {
	vm.releases.RLock()
	request := rpc.Pull{HeldRelease: held}
	for digest := range vm.releases.adopter.Parts() {
		request.HeldParts = append(request.HeldParts, digest)
	}
	vm.releases.RUnlock()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var pulled rpc.PullResponse
	if err := vm.mesh.Call(ctx, from.Name, from.Address, rpc.MethodPull, request, &pulled); err != nil {
		return err
	}
	return vm.adopt(pulled.Head, pulled.Parts, from.Name)
}

// answerPull returns the head and the parts that the requesting peer lacks, or nothing if its release is not older.
func (vm *VM) answerPull(request rpc.Pull) rpc.PullResponse {
	vm.releases.RLock()
	defer vm.releases.RUnlock()
	head := vm.releases.adopter.Head()
	if head.Release <= request.HeldRelease {
		return rpc.PullResponse{}
	}
	held := map[release.Digest]bool{}
	for _, digest := range request.HeldParts {
		held[digest] = true
	}
	answer := rpc.PullResponse{Head: head, Parts: map[release.Digest][]byte{}}
	for digest, part := range vm.releases.adopter.Parts() {
		if !held[digest] {
			answer.Parts[digest] = part
		}
	}
	return answer
}

// recordPlatformState records whether the platform is available and logs each change.
func (vm *VM) recordPlatformState(err error) {
	up := err == nil
	if vm.platformUp.Swap(up) != up {
		vm.log.Info("platform availability changed", zap.Bool("available", up), zap.Error(err))
	}
}
