package fpforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/route/fprate"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// coldKey returns the key of the upstream in the limiter of request rates for the limit that holds while it is cold.
func (mem *member) coldKey() fprate.Incarnation {
	key := mem.rateKey()
	key.Cold = true
	return key
}

// assumeColdStart treats an upstream as cold for the cold start of its service, because this VM has received it only after its own
// startup. Announcements may say later that it is cold for another time. The caller holds the mutex.
func (fwd *Forwarder) assumeColdStart(vie *view, mem *member) {
	if fwd.joinedAfterStartup(mem) {
		fwd.assumeCold(vie, mem)
	}
}

// assumeCold treats an upstream as cold for the cold start of its service, unless an announcement says something else.
func (fwd *Forwarder) assumeCold(vie *view, mem *member) {
	if vie.table == nil {
		return
	}
	ser := vie.table.Service(mem.upstream.GetService())
	if rate, length := ser.GetColdPerSecond(), ser.GetColdStart().AsDuration(); rate > 0 && length > 0 {
		fwd.rates.Assume(mem.coldKey(), rate, time.Now().Add(length))
		fwd.counters.add("coldAssumed")
	}
}

// observeEvacuations treats the upstreams of data centres whose evacuation has ended as cold, because they may have turned cold just
// before. An evacuation that had ended when this VM started is passed over. Only the goroutine of Update may call it.
func (fwd *Forwarder) observeEvacuations(vie *view, all []*fpstate.Evacuation) {
	for _, eva := range all {
		known := fwd.evacuations[eva.GetDataCentre()]
		if known.GetModified() >= eva.GetModified() {
			continue
		}
		if fwd.evacuations == nil {
			fwd.evacuations = map[string]*fpstate.Evacuation{}
		}
		fwd.evacuations[eva.GetDataCentre()] = eva
		// Without contact, this VM may have missed the begin of the evacuation.
		if eva.GetActive() || !known.GetActive() && vie.index == 0 {
			continue
		}
		fwd.cfg.Log.Info("the evacuation of a data centre has ended, its upstreams may be cold", zap.String("dataCentre", eva.GetDataCentre()))
		for _, mem := range vie.active {
			if mem.upstream.GetDataCentre() == eva.GetDataCentre() {
				fwd.assumeCold(vie, mem)
			}
		}
	}
}

// preferReady returns the candidates without the cold upstreams for which there is no token now, or all if there are no others. For the
// cheapest one without a token, it acquires one for later requests.
func (exc *exchange) preferReady(now time.Time, all []choice, best choice) []choice {
	rates, urgent := exc.fwd.rates, !exc.lowPriority
	if best.member == nil || !rates.Limits() {
		return all
	}
	_ = rates.Ready(now, best.member.coldKey(), urgent)
	ready := slices.DeleteFunc(slices.Clone(all), func(cho choice) bool { return !rates.Has(now, cho.member.coldKey(), urgent) })
	if len(ready) == 0 {
		return all
	}
	return ready
}

// takeCold takes a token if the upstream is cold. Without one, the error is of kind Overloaded.
func (exc *exchange) takeCold(ctx context.Context, cho choice) error {
	mem := cho.member
	ok, wait := exc.fwd.rates.Take(ctx, mem.coldKey(), !exc.lowPriority, cho.waitForRate)
	if ok {
		return nil
	}
	exc.fwd.rates.Return(mem.rateKey(), !exc.lowPriority)
	exc.fwd.counters.add("coldRefused")
	exc.tried[mem] = true
	exc.rateWait = wait
	return fperror.New(fperror.Overloaded, "upstream %s is cold and gets no more requests now", mem.upstream.GetId())
}

// returnRate gives back the tokens of a request that was not sent.
func (exc *exchange) returnRate(mem *member) {
	exc.fwd.rates.Return(mem.rateKey(), !exc.lowPriority)
	exc.fwd.rates.Return(mem.coldKey(), !exc.lowPriority)
}

// rateExhausted reports whether requests to an upstream are refused at once, because the leader had no tokens lately.
func (exc *exchange) rateExhausted(now time.Time, mem *member) bool {
	rates, urgent := exc.fwd.rates, !exc.lowPriority
	return rates.Exhausted(now, mem.rateKey(), urgent) || rates.Exhausted(now, mem.coldKey(), urgent)
}

// observeCold records for how much longer an upstream says in an answer that it is cold.
func (exc *exchange) observeCold(mem *member, sentAt time.Time, rep *reply) {
	if rep == nil || !rep.answer.HasColdLeft || rep.answer.Attempt != exc.info.Attempt || rep.status == http.StatusMisdirectedRequest {
		return
	}
	if rate := exc.coldRate(mem); rate > 0 {
		exc.fwd.rates.ObserveCold(mem.coldKey(), sentAt, rate, rep.answer.ColdLeft)
	}
}

// coldRate returns the requests per second that an upstream takes while it is cold, or 0 if they are not limited.
func (exc *exchange) coldRate(mem *member) float64 {
	vie := exc.fwd.view.Load()
	if vie.table == nil {
		return 0
	}
	return vie.table.Service(mem.upstream.GetService()).GetColdPerSecond()
}

// logRate logs that the limit of an upstream has changed.
func (fwd *Forwarder) logRate(inc fprate.Incarnation, sta fprate.Statement) {
	text := "request rate of an upstream changed"
	if inc.Cold {
		text = "cold state of an upstream changed"
	}
	fwd.cfg.Log.Info(text, zap.String("upstream", inc.ID), zap.Uint64("born", inc.Born),
		zap.Bool("limited", sta.Limited), zap.Float64("perSecond", sta.PerSecond))
}
