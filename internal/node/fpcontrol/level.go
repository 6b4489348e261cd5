package fpcontrol

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

const (
	// levelTimeout is how long the level that a control VM has stated counts. Each VM states it once a second.
	levelTimeout = 10 * time.Second
	// levelDelay is the time for which all control VMs must have known a level before it is committed. Without it, a group of three that
	// has just formed committed the level before a fourth VM of an earlier build had asked to join.
	levelDelay = 2 * time.Second
)

// levels holds the levels of the log that other control VMs have stated. It is safe for concurrent use.
type levels struct {
	mutex  sync.Mutex
	stated map[string]statedLevel
}

// statedLevel is the level that a control VM has stated, and when.
type statedLevel struct {
	level uint32
	at    time.Time
}

func newLevels() *levels {
	return &levels{
		stated: map[string]statedLevel{},
	}
}

// record records the level that a control VM states. A VM of a build that knows no levels states 0.
func (lev *levels) record(vm string, level uint32) {
	lev.mutex.Lock()
	defer lev.mutex.Unlock()
	now := time.Now()
	for other, one := range lev.stated {
		if now.Sub(one.at) > levelTimeout {
			delete(lev.stated, other)
		}
	}
	lev.stated[vm] = statedLevel{
		level: level,
		at:    now,
	}
}

// lowest returns the lowest level that any VM has stated within levelTimeout. It returns 0 if one of the given VMs has stated none.
func (lev *levels) lowest(vms []string) uint32 {
	lev.mutex.Lock()
	defer lev.mutex.Unlock()
	low := ^uint32(0)
	for _, one := range lev.stated {
		if time.Since(one.at) <= levelTimeout {
			low = min(low, one.level)
		}
	}
	for _, vm := range vms {
		if one, ok := lev.stated[vm]; !ok || time.Since(one.at) > levelTimeout {
			return 0
		}
	}
	return low
}

// maintainLevel commits the level that all control VMs know while this VM leads, until ctx ends.
func (con *Control) maintainLevel(ctx context.Context) {
	var since time.Time // when the common level rose above the committed one, or zero
	for sleep(ctx, memberCheckInterval) {
		old, next := con.directory.Level(), con.commonLevel()
		if next <= old || !con.leads(ctx) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) < levelDelay {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := con.proposeHere(call, &fpstate.Command{
			Body: &fpstate.Command_Level{
				Level: &fpstate.Level{
					Level: next,
				},
			},
		})
		cancel()
		con.cfg.Log.Info("level of the log raised", zap.Uint32("from", old), zap.Uint32("to", next), zap.Error(err))
	}
}

// commonLevel returns the highest level that all members of the group know, learners and VMs that ask to join included.
func (con *Control) commonLevel() uint32 {
	var others []string
	for _, mst := range con.group.Status().Members {
		if mst.VM != con.cfg.VM {
			others = append(others, mst.VM)
		}
	}
	return min(con.level, con.levels.lowest(others))
}
