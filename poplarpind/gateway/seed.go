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
)

const (
	statePath    = "/state"
	seedInterval = 300 * time.Millisecond // between two tries of seeds while neither store nor VMs are known
	seedTimeout  = 400 * time.Millisecond
	maxState     = 16 << 20 // bytes of a VM's state
)

// state is what a VM tells one that has just started and cannot reach the store.
type state struct {
	StoreUpdate rpc.StoreUpdate `json:"news"`
	EntryVMs    []platform.VM   `json:"vms"`
}

// serveState tells what this VM knows, if it knows a configuration.
func (gateway *Gateway) serveState(writer http.ResponseWriter, _ *http.Request) {
	gateway.mu.Lock()
	known := state{StoreUpdate: gateway.book.UpdateSince(rpc.StoreRevisions{}, gateway.good(time.Now())), EntryVMs: append([]platform.VM{gateway.self()}, gateway.peers...)}
	gateway.mu.Unlock()
	if known.StoreUpdate.Config == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(known); err != nil {
		gateway.log.Info("state not delivered", zap.Error(err))
	}
}

// seed asks the seeds for what they know until the store or another VM has told it.
func (gateway *Gateway) seed(ctx context.Context) {
	client := &http.Client{Timeout: seedTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := 0; ctx.Err() == nil; try++ {
		pause(ctx, seedInterval) // the store answers sooner
		if gateway.informed() {
			return
		}
		seeds := gateway.seeds()
		if len(seeds) == 0 {
			continue
		}
		seed := seeds[try%len(seeds)]
		if seed == gateway.settings.PeerAddress {
			continue
		}
		if err := gateway.askSeed(ctx, client, seed); err != nil {
			gateway.log.Info("seed not asked", zap.String("seed", seed), zap.Error(err))
		}
	}
}

// informed reports whether a configuration and the servers are known.
func (gateway *Gateway) informed() bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.listed && gateway.table.Load() != nil
}

// askSeed takes a seed's state.
func (gateway *Gateway) askSeed(ctx context.Context, client *http.Client, seed string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+statePath, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var known state
	if err := json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&known); err != nil {
		return err
	}
	if err := known.StoreUpdate.Validate(); err != nil {
		return err
	}
	gateway.log.Info("seed asked", zap.String("seed", seed), zap.Int("servers", len(known.StoreUpdate.Servers)), zap.Int("vms", len(known.EntryVMs)))
	gateway.mu.Lock()
	gateway.take(seed, known.StoreUpdate)
	strangers := len(gateway.peers) == 0
	gateway.mu.Unlock()
	if strangers {
		gateway.meet(known.EntryVMs)
	}
	return nil
}
