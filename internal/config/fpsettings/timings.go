package fpsettings

import "time"

// Timings are the durations of the protocols between VMs and upstreams. All but drainDelay and configurationWait have to be
// equal on all VMs, because leases and elections rely on the timings of others.
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

// Lease is how long a grant to an upstream lasts.
func (tim Timings) Lease() time.Duration { return tim.lease }

// TableValidity is how long an entry VM may use a table after it sent the poll.
func (tim Timings) TableValidity() time.Duration { return tim.tableValidity }

// Heartbeat is the interval between the heartbeats of a group's leader.
func (tim Timings) Heartbeat() time.Duration { return tim.heartbeat }

// ElectionTimeoutMin is the shortest election timeout. It is also how long a voter grants no vote after it heard from a
// leader, and how long a leader continues without acknowledgements from a majority.
func (tim Timings) ElectionTimeoutMin() time.Duration { return tim.electionTimeoutMin }

// ElectionTimeoutMax is the longest election timeout.
func (tim Timings) ElectionTimeoutMax() time.Duration { return tim.electionTimeoutMax }

// Poll is how long a leader holds a poll for a change.
func (tim Timings) Poll() time.Duration { return tim.poll }

// Announce is the interval between the announcements of an upstream.
func (tim Timings) Announce() time.Duration { return tim.announce }

// ReadIdle is how long a connection with requests may be silent before a ping is sent.
func (tim Timings) ReadIdle() time.Duration { return tim.readIdle }

// PingTimeout is how long the answer to a ping may take before the connection is replaced.
func (tim Timings) PingTimeout() time.Duration { return tim.pingTimeout }

// DialTimeout bounds the time to open a connection.
func (tim Timings) DialTimeout() time.Duration { return tim.dialTimeout }

// DrainDelay is the time between reporting unhealthy and closing the listeners.
func (tim Timings) DrainDelay() time.Duration { return tim.drainDelay }

// ConfigurationWait is how long Apply waits by default until a configuration is in force everywhere.
func (tim Timings) ConfigurationWait() time.Duration { return tim.configurationWait }

// silenceBound is the bound on detecting a silent connection: one idle time, then one ping.
const silenceBound = 2 * time.Second

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
		// Both together find a silent connection in 0.9 s, because keyed calls then wait for a new table and a new lease as well
		// and have to be served within 2 s.
		readIdle: obj.duration("readIdle", durationRange{
			fallback: 450 * time.Millisecond,
			low:      50 * time.Millisecond,
			high:     silenceBound,
		}),
		pingTimeout: obj.duration("pingTimeout", durationRange{
			fallback: 450 * time.Millisecond,
			low:      50 * time.Millisecond,
			high:     silenceBound,
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

// check reports timings that contradict each other.
func (tim Timings) check(obj *object) {
	if tim.electionTimeoutMin < 3*tim.heartbeat {
		// A single lost heartbeat must not start an election.
		obj.fault("electionTimeoutMin", tim.electionTimeoutMin.String(), "at least 3 heartbeats")
	}
	if tim.electionTimeoutMax <= tim.electionTimeoutMin {
		obj.fault("electionTimeoutMax", tim.electionTimeoutMax.String(), "more than electionTimeoutMin")
	}
	if tim.tableValidity <= tim.electionTimeoutMax+tim.poll {
		// Otherwise the loss of a leader would expire tables before its successor can renew them.
		obj.fault("tableValidity", tim.tableValidity.String(), "more than electionTimeoutMax and poll together")
	}
	if tim.lease <= tim.electionTimeoutMax {
		obj.fault("lease", tim.lease.String(), "more than electionTimeoutMax")
	}
	if tim.readIdle+tim.pingTimeout > silenceBound {
		obj.fault("readIdle", tim.readIdle.String(), "at most 2s together with pingTimeout")
	}
}

// namedDuration is one timing with the name of its field.
type namedDuration struct {
	name  string
	value time.Duration
}

// named returns the timings that have to be equal on all VMs. drainDelay and configurationWait concern one VM only.
func (tim Timings) named() []namedDuration {
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
