package fpforward

import "time"

const (
	// startWaitPercent is the part of the time of its caller that a request waits for the first configuration of a VM that has
	// just started. After the restart of all VMs the state arrives within that time, and callers have few tries left.
	startWaitPercent = 30
	// mostStartWait bounds that time, beyond which the VM is cut off rather than starting.
	maxStartWait = time.Second
)

// awaitConfiguration waits for the first configuration if none is known yet.
func (exc *exchange) awaitConfiguration() {
	if exc.fwd.view.Load().table != nil {
		return
	}
	limit := time.NewTimer(min(maxStartWait, exc.info.Wait*startWaitPercent/100))
	defer limit.Stop()
	for {
		changed := exc.fwd.viewChanged()
		if exc.fwd.view.Load().table != nil {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-exc.request.Context().Done():
			return
		}
	}
}
