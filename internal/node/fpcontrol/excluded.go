package fpcontrol

import (
	"github.com/foxtailpulley/foxtailpulley/internal/config/fproute"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpstate"
)

// excluded returns a function that reports whether an upstream must hold no keys of a service: its region is not one of those for the
// keys, or its data centre is evacuated. It returns nil if no route of the service names regions and there was no evacuation.
func (con *Control) excluded(service string) func(ups *fpstate.Upstream) bool {
	homes := fproute.KeyHomes(con.directory.Configuration(), service)
	evacuations := con.directory.Evacuations()
	if len(homes) == 0 && len(evacuations) == 0 {
		return nil
	}
	evacuated := map[string]bool{}
	for _, eva := range evacuations {
		evacuated[eva.GetDataCentre()] = eva.GetActive()
	}
	return func(ups *fpstate.Upstream) bool {
		dataCentre := ups.GetDataCentre()
		return evacuated[dataCentre] || len(homes) > 0 && !homes.Allows(con.regionOf(dataCentre))
	}
}

// regionOf returns the region of a data centre, or "" if it is not known.
func (con *Control) regionOf(dataCentre string) string {
	if con.cfg.RegionOf == nil {
		return ""
	}
	return con.cfg.RegionOf(dataCentre)
}
