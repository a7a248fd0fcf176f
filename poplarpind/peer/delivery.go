package peer

import (
	"math"
	"time"

	"poplarpin.dev/poplarpind/tcp"
)

const (
	// deliveryCheckDelay is how long a ping is unanswered until its link is checked, so that the result is there when the ping fails.
	deliveryCheckDelay = pingTimeout - tcp.AcknowledgeTime - 30*time.Millisecond
	maxCheckAge        = pingTimeout   // a link that was cut may work again some time after a check
	allDelivered       = math.MaxInt64 // as undeliveredFrom of a link
)

// Delivery tells whether a message has arrived at the peer's machine. The zero value is that of a message that has not been sent.
type Delivery struct {
	link   *link
	offset int64 // of the message in the bytes written to the link, or less
}

// Undelivered reports whether a recent check of the link has found that the peer's machine has acknowledged nothing of the message.
func (delivery Delivery) Undelivered() bool {
	if delivery.link == nil {
		return false
	}
	delivery.link.mu.Lock()
	defer delivery.link.mu.Unlock()
	return delivery.offset >= delivery.link.undeliveredFrom && time.Since(delivery.link.checkedAt) <= maxCheckAge
}

// Check checks the link in the background, unless it is being checked, and closes it if the message is undelivered, so that it does not arrive later.
func (delivery Delivery) Check() {
	link := delivery.link
	if link == nil || !link.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer link.checking.Store(false)
		link.checkDelivery()
		if delivery.Undelivered() {
			link.close()
		}
	}()
}

// checkDelivery finds out from which byte on nothing that was written to the link has been acknowledged, if that includes some written before the
// check. Whether this process has read the peer's replies does not matter.
func (link *link) checkDelivery() {
	writtenBefore := link.writes.returned.Load()
	if _, err := link.mesh.loopback.AwaitAcknowledgements(); err != nil {
		return
	}
	unacknowledged, known := tcp.Unacknowledged(link.conn)
	acknowledged := link.writes.begun.Load() - int64(unacknowledged) // or more, if a write has only begun
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed {
		return
	}
	link.undeliveredFrom, link.checkedAt = allDelivered, time.Now()
	if known && acknowledged < writtenBefore {
		link.undeliveredFrom = acknowledged
	}
}
