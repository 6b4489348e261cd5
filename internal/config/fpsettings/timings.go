package fpsettings

import "time"

// Timings are the durations of the protocols between VMs and upstreams. All but drainDelay and configurationWait must be equal on
// all VMs, because leases and elections depend on the timings of the other VMs.
type Timings struct {
	lease              time.Duration
	tableValidity      time.Duration
	heartbeat          time.Duration
	electionTimeoutMin time.Duration
	electionTimeoutMax time.Duration
	poll               time.Duration
	announce           time.Duration
	readIdle           time.Duration
	pingTimeout        time.Duration
	dialTimeout        time.Duration
	drainDelay         time.Duration
	configurationWait  time.Duration
}

// Lease is how long a grant to an upstream is valid.
func (tim Timings) Lease() time.Duration { return tim.lease }

// TableValidity is how long an entry VM may use a slot table, counted from when it sent the poll for it.
func (tim Timings) TableValidity() time.Duration { return tim.tableValidity }

// Heartbeat is the interval between heartbeats of the leader of a group.
func (tim Timings) Heartbeat() time.Duration { return tim.heartbeat }

// ElectionTimeoutMin is the shortest election timeout. It is also how long a voter grants no vote after its last contact with a
// leader, and how long a leader continues without acknowledgements of a majority.
func (tim Timings) ElectionTimeoutMin() time.Duration { return tim.electionTimeoutMin }

// ElectionTimeoutMax is the longest election timeout.
func (tim Timings) ElectionTimeoutMax() time.Duration { return tim.electionTimeoutMax }

// Poll is how long a leader waits for a change before it answers a poll.
func (tim Timings) Poll() time.Duration { return tim.poll }

// Announce is the interval between the announcements of an upstream.
func (tim Timings) Announce() time.Duration { return tim.announce }

// ReadIdle is how long a connection with requests in flight may receive nothing before a ping is sent.
func (tim Timings) ReadIdle() time.Duration { return tim.readIdle }

// PingTimeout is the maximum time until the answer to a ping. After it the connection is replaced.
func (tim Timings) PingTimeout() time.Duration { return tim.pingTimeout }

// DialTimeout is the maximum time to open a connection.
func (tim Timings) DialTimeout() time.Duration { return tim.dialTimeout }

// DrainDelay is the time from when a stopping process reports itself as unhealthy until it closes its listeners.
func (tim Timings) DrainDelay() time.Duration { return tim.drainDelay }

// ConfigurationWait returns the field configurationWait, which has no effect: ApplyConfiguration waits for the time in the
// request, or else for the default of package fpoperate.
func (tim Timings) ConfigurationWait() time.Duration { return tim.configurationWait }

// maxDetectionTime is the maximum time until a dead connection is detected. Detection takes the sum of ReadIdle and PingTimeout.
const maxDetectionTime = 2 * time.Second

func readTimings(obj *object) Timings {
	tim := Timings{
		lease: obj.duration("lease", durationRange{
			fallback: time.Second,
			low:      200 * time.Millisecond,
			high:     10 * time.Second,
		}),
		tableValidity: obj.duration("tableValidity", durationRange{
			fallback: time.Second,
			low:      200 * time.Millisecond,
			high:     10 * time.Second,
		}),
		heartbeat: obj.duration("heartbeat", durationRange{
			fallback: 75 * time.Millisecond,
			low:      5 * time.Millisecond,
			high:     time.Second,
		}),
		electionTimeoutMin: obj.duration("electionTimeoutMin", durationRange{
			fallback: 300 * time.Millisecond,
			low:      20 * time.Millisecond,
			high:     10 * time.Second,
		}),
		electionTimeoutMax: obj.duration("electionTimeoutMax", durationRange{
			fallback: 600 * time.Millisecond,
			low:      40 * time.Millisecond,
			high:     20 * time.Second,
		}),
		poll: obj.duration("poll", durationRange{
			fallback: 250 * time.Millisecond,
			low:      10 * time.Millisecond,
			high:     5 * time.Second,
		}),
		announce: obj.duration("announce", durationRange{
			fallback: time.Second,
			low:      50 * time.Millisecond,
			high:     10 * time.Second,
		}),
		// By default a dead connection is detected after 0.9 s, the sum of readIdle and pingTimeout. Keyed calls then also wait for a
		// new table and a new lease, and must be served within 2 s.
		readIdle: obj.duration("readIdle", durationRange{
			fallback: 450 * time.Millisecond,
			low:      50 * time.Millisecond,
			high:     maxDetectionTime,
		}),
		pingTimeout: obj.duration("pingTimeout", durationRange{
			fallback: 450 * time.Millisecond,
			low:      50 * time.Millisecond,
			high:     maxDetectionTime,
		}),
		dialTimeout: obj.duration("dialTimeout", durationRange{
			fallback: time.Second,
			low:      50 * time.Millisecond,
			high:     10 * time.Second,
		}),
		drainDelay: obj.duration("drainDelay", durationRange{
			fallback: 5 * time.Second,
			low:      0,
			high:     10 * time.Minute,
		}),
		configurationWait: obj.duration("configurationWait", durationRange{
			fallback: 6 * time.Second,
			low:      100 * time.Millisecond,
			high:     time.Minute,
		}),
	}
	tim.check(obj)
	return tim
}

// check reports combinations of timings that are not allowed.
func (tim Timings) check(obj *object) {
	if tim.electionTimeoutMin < 3*tim.heartbeat {
		// A single lost heartbeat must not start an election.
		obj.fault("electionTimeoutMin", tim.electionTimeoutMin.String(), "at least 3 heartbeats")
	}
	if tim.electionTimeoutMax <= tim.electionTimeoutMin {
		obj.fault("electionTimeoutMax", tim.electionTimeoutMax.String(), "more than electionTimeoutMin")
	}
	if tim.tableValidity <= tim.electionTimeoutMax+tim.poll {
		// Otherwise tables would expire after the loss of a leader before the next leader can renew them.
		obj.fault("tableValidity", tim.tableValidity.String(), "more than electionTimeoutMax and poll together")
	}
	if tim.lease <= tim.electionTimeoutMax {
		obj.fault("lease", tim.lease.String(), "more than electionTimeoutMax")
	}
	if tim.readIdle+tim.pingTimeout > maxDetectionTime {
		obj.fault("readIdle", tim.readIdle.String(), "at most 2s together with pingTimeout")
	}
}

// namedDuration is one timing with the name of its field in the settings.
type namedDuration struct {
	name  string
	value time.Duration
}

// shared returns the timings that must be equal on all VMs, in a fixed order. drainDelay and configurationWait affect only one VM
// and are left out.
func (tim Timings) shared() []namedDuration {
	var list []namedDuration
	add := func(name string, value time.Duration) {
		list = append(list, namedDuration{
			name:  name,
			value: value,
		})
	}
	add("lease", tim.lease)
	add("tableValidity", tim.tableValidity)
	add("heartbeat", tim.heartbeat)
	add("electionTimeoutMin", tim.electionTimeoutMin)
	add("electionTimeoutMax", tim.electionTimeoutMax)
	add("poll", tim.poll)
	add("announce", tim.announce)
	add("readIdle", tim.readIdle)
	add("pingTimeout", tim.pingTimeout)
	add("dialTimeout", tim.dialTimeout)
	return list
}
