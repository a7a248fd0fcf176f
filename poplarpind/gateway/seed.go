package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

const (
	statePath         = "/state"
	seedRetryInterval = 300 * time.Millisecond // seeds are asked this often until a configuration and the targets are known
	seedTimeout       = 400 * time.Millisecond
	maxStateBytes     = 16 << 20 // limit on a seed's response
	maxStateHeadBytes = 64 << 10 // status line and header fields have at most this many of the bytes
)

// seedState is what a VM sends to one that has started and does not yet know a configuration and the targets.
type seedState struct {
	StoreUpdate rpc.StoreUpdate `json:"news"`
	EntryVMs    []platform.VM   `json:"vms"`
}

// serveState sends what this VM knows of the store and the entry VMs, once it has a configuration.
func (gateway *Gateway) serveState(writer http.ResponseWriter, _ *http.Request) {
	gateway.mu.Lock()
	state := seedState{StoreUpdate: gateway.updateSince(time.Now(), rpc.StoreRevisions{}), EntryVMs: append([]platform.VM{gateway.self()}, gateway.peers...)}
	gateway.mu.Unlock()
	if state.StoreUpdate.Config == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(state); err != nil {
		gateway.log.Info("writing state failed", zap.Error(err))
	}
}

// bootstrap asks the seeds in turn for their state until a configuration and the targets are known, from whatever source.
func (gateway *Gateway) bootstrap(ctx context.Context) {
	client := &http.Client{Timeout: seedTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxStateHeadBytes}}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sleep(ctx, seedRetryInterval) // usually the store has answered by then
		if gateway.bootstrapped() {
			return
		}
		seeds := gateway.seeds()
		if len(seeds) == 0 {
			continue
		}
		seed := seeds[attempt%len(seeds)]
		if seed == gateway.settings.PeerAddress {
			continue
		}
		if err := gateway.requestSeedState(ctx, client, seed); err != nil {
			gateway.log.Info("seed request failed", zap.String("seed", seed), zap.Error(err))
		}
	}
}

// bootstrapped reports whether a configuration and the targets are known.
func (gateway *Gateway) bootstrapped() bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.targetsKnown && gateway.table.Load() != nil
}

// requestSeedState requests a seed's state and applies it.
func (gateway *Gateway) requestSeedState(ctx context.Context, client *http.Client, seed string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+statePath, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &peer.Error{Op: "seed", Kind: peer.Rejected, Detail: response.Status}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return err
	}
	var received seedState
	if err := json.Unmarshal(data, &received); err != nil {
		return err
	}
	if err := received.StoreUpdate.Validate(); err != nil {
		return err
	}
	gateway.log.Info("seed state received", zap.String("seed", seed), zap.Int("targets", len(received.StoreUpdate.Servers)), zap.Int("vms", len(received.EntryVMs)))
	gateway.era.Raise(received.StoreUpdate.Era)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.applyUpdate(seed, received.StoreUpdate)
	if gateway.peersReadAt.IsZero() && len(gateway.peers) == 0 { // the store's list may have been read while the seed answered, and the seed's may be older
		gateway.replacePeers(received.EntryVMs)
	}
	return nil
}
