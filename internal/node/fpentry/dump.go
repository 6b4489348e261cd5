package fpentry

// Dump is the state of the forwarding path for the dump of a VM.
type Dump struct {
	Services    []ServiceDump  `json:"services"`
	Upstreams   []UpstreamDump `json:"upstreams"`
	Quarantined int            `json:"quarantined"`
	Suspects    int            `json:"suspects"`
}

// ServiceDump is the number of upstreams of a service and of those that are ejected.
type ServiceDump struct {
	Name    string `json:"name"`
	Members int    `json:"members"`
	Ejected int    `json:"ejected"`
}

// UpstreamDump is the state of an upstream's concurrency limiter, connections and health on this VM.
type UpstreamDump struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Limit       int    `json:"limit"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	// Rate is the request rate per second that the upstream names for all VMs together, or nil.
	Rate *float64 `json:"rate,omitempty"`
}

// Dump returns the state of the forwarding path.
func (ent *Entry) Dump() Dump {
	var out Dump
	out.Quarantined, out.Suspects = ent.quarantine.Len()
	for _, ups := range ent.registry.All() {
		one := UpstreamDump{
			Name:        ups.GetName(),
			Service:     ups.GetService(),
			Address:     ups.GetAddress(),
			Incarnation: ups.GetIncarnation(),
			Connections: ent.pools.Pool(ups).Len(),
		}
		limit := ent.limiter(ups).State()
		one.Running = limit.Running()
		one.Waiting = limit.Waiting()
		one.Limit = limit.Concurrency()
		if perSecond, limited := ent.rates.Rate(rateKey(ups)); limited {
			one.Rate = &perSecond
		}
		if ser := ent.findService(ups.GetService()); ser != nil {
			one.State = ser.health.State(ups.GetName()).String()
		}
		out.Upstreams = append(out.Upstreams, one)
	}
	ent.mutex.Lock()
	defer ent.mutex.Unlock()
	for name, ser := range ent.services {
		out.Services = append(out.Services, ServiceDump{
			Name:    name,
			Members: len(ser.members),
			Ejected: ser.health.EjectedCount(),
		})
	}
	return out
}
