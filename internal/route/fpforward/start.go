package fpforward

import "time"

const (
	// startWaitPercent is the percentage of the wait stated by the caller that a request waits for the first configuration of
	// a VM that has just started. After a restart of all VMs the state arrives within that time, and callers have few
	// attempts left.
	startWaitPercent = 30
	// maxStartWait bounds that time. A VM without a configuration after it is cut off from the control VMs, not starting.
	maxStartWait = time.Second
)

// awaitConfiguration waits for the first configuration if none is known yet.
func (exc *exchange) awaitConfiguration() {
	if exc.fwd.view.Load().table != nil {
		return
	}
	limit := time.NewTimer(min(maxStartWait, exc.info.Timeout*startWaitPercent/100))
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
