package gateway

import (
	"sync"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/poplarpind/http1"
	"poplarpin.dev/poplarpind/tcp"
)

// deliveries finds the calls that have not arrived at the machines of their targets. Acknowledgements come from the kernels at both ends, so that
// they tell a cut from a target that is slow and from a VM that is short of processor, or stood still.
type deliveries struct {
	loopback  tcp.Loopback
	mu        sync.Mutex
	exchanges []*http1.Exchange // that wait for the next look
	running   bool
}

// checkDelivery ends a call soon if the machine of its target or relay has not received it.
func (gateway *Gateway) checkDelivery(job *job, check fanout.CheckDelivery) {
	gateway.mu.Lock()
	exchange := job.exchanges[check.Call]
	relayed := gateway.relayedCalls[job.relayQueries[check.Call]]
	gateway.mu.Unlock()
	callCounts.Add("deliveryChecked", 1)
	relayed.message.Check()
	if exchange == nil {
		return
	}
	deliveries := &gateway.deliveries
	deliveries.mu.Lock()
	defer deliveries.mu.Unlock()
	deliveries.exchanges = append(deliveries.exchanges, exchange)
	if !deliveries.running {
		deliveries.running = true
		go gateway.checkDeliveries()
	}
}

// checkDeliveries looks at the calls that wait for it until there are none.
func (gateway *Gateway) checkDeliveries() {
	for {
		deliveries := &gateway.deliveries
		deliveries.mu.Lock()
		exchanges := deliveries.exchanges
		deliveries.exchanges, deliveries.running = nil, len(exchanges) > 0
		deliveries.mu.Unlock()
		if len(exchanges) == 0 {
			return
		}
		writtenBefore, err := deliveries.loopback.AwaitAcknowledgements()
		if err != nil {
			gateway.log.Info("delivery of calls not known", zap.Int("calls", len(exchanges)), zap.Error(err))
			continue
		}
		for _, exchange := range exchanges {
			exchange.EndUndelivered(writtenBefore)
		}
	}
}
