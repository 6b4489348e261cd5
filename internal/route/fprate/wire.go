package fprate

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// EncodeStatements returns statements for another VM, with their ages as of now.
func EncodeStatements(now time.Time, statements map[Incarnation]Statement) []*fpstate.RateStatement {
	var all []*fpstate.RateStatement
	for inc, sta := range statements {
		one := &fpstate.RateStatement{
			Upstream:  inc.ID,
			Born:      inc.Born,
			Limited:   sta.Limited,
			PerSecond: sta.PerSecond,
			Age:       durationpb.New(now.Sub(sta.At)),
			Cold:      inc.Cold,
		}
		if inc.Cold && sta.Limited {
			one.Left = durationpb.New(sta.Until.Sub(sta.At))
		}
		all = append(all, one)
	}
	return all
}

// DecodeStatements returns the statements of another VM with their times on the clock of this one. at is the time that is taken
// for that at which the ages were measured: with a later one, statements seem newer than they are. The ends of limits of cold
// upstreams are as of now, so that none ends too early.
func DecodeStatements(at time.Time, statements []*fpstate.RateStatement) map[Incarnation]Statement {
	all := map[Incarnation]Statement{}
	received := time.Now()
	for _, sta := range statements {
		inc := Incarnation{
			ID:   sta.GetUpstream(),
			Born: sta.GetBorn(),
			Cold: sta.GetCold(),
		}
		one := Statement{
			Limited:   sta.GetLimited(),
			PerSecond: sta.GetPerSecond(),
			At:        at.Add(-sta.GetAge().AsDuration()),
		}
		if inc.Cold && one.Limited {
			one.Until = received.Add(sta.GetLeft().AsDuration() - sta.GetAge().AsDuration())
		}
		all[inc] = one
	}
	return all
}

// EncodeAsks returns the tokens that a VM needs, for the leader.
func EncodeAsks(asks []Ask) []*fpstate.RateTokens {
	var all []*fpstate.RateTokens
	for _, ask := range asks {
		all = append(all, &fpstate.RateTokens{
			Upstream: ask.Incarnation.ID,
			Born:     ask.Incarnation.Born,
			Urgent:   uint32(ask.Urgent),
			Other:    uint32(ask.Other),
			Cold:     ask.Incarnation.Cold,
		})
	}
	return all
}

// DecodeAsks is the reverse of EncodeAsks.
func DecodeAsks(asks []*fpstate.RateTokens) []Ask {
	var all []Ask
	for _, ask := range asks {
		all = append(all, Ask{
			Incarnation: incarnationOf(ask),
			Urgent:      int(ask.GetUrgent()),
			Other:       int(ask.GetOther()),
		})
	}
	return all
}

// EncodeGrants returns tokens for the VM that has asked for them.
func EncodeGrants(grants []Grant) []*fpstate.RateTokens {
	var all []*fpstate.RateTokens
	for _, gra := range grants {
		all = append(all, &fpstate.RateTokens{
			Upstream: gra.Incarnation.ID,
			Born:     gra.Incarnation.Born,
			Urgent:   uint32(gra.Urgent),
			Other:    uint32(gra.Other),
			Cold:     gra.Incarnation.Cold,
			Wait:     durationpb.New(gra.Wait),
		})
	}
	return all
}

// DecodeGrants is the reverse of EncodeGrants.
func DecodeGrants(grants []*fpstate.RateTokens) []Grant {
	var all []Grant
	for _, gra := range grants {
		all = append(all, Grant{
			Incarnation: incarnationOf(gra),
			Urgent:      int(gra.GetUrgent()),
			Other:       int(gra.GetOther()),
			Wait:        gra.GetWait().AsDuration(),
		})
	}
	return all
}

func incarnationOf(tok *fpstate.RateTokens) Incarnation {
	return Incarnation{
		ID:   tok.GetUpstream(),
		Born: tok.GetBorn(),
		Cold: tok.GetCold(),
	}
}
