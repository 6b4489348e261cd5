package fpgrant

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"slices"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// tableImage is the stored form of a Table. It has a column for each field of a slot, because gob encodes columns of numbers
// compactly.
type tableImage struct {
	Version  Position
	Floor    Position
	Terms    []Position
	Services []serviceImage
	Owners   []string
	Slots    []slotColumns
	Splits   []splitImage
	Targets  map[uint32]string
}

type serviceImage struct {
	Name      string
	Slots     uint32
	LastEpoch uint64
	Firsts    []uint32
	Lasts     []uint32
}

// slotColumns holds the slots of one span in ascending order. An Owner is an index in tableImage.Owners.
type slotColumns struct {
	Service uint32
	First   uint32
	Owner   []uint32
	Epoch   []uint64
	Changed []uint64
	State   []byte
}

type splitImage struct {
	Service uint32
	Number  uint32
	Key     string
	Owner   uint32
	Epoch   uint64
	Changed uint64
	State   uint8
	Target  string
}

// Snapshot returns the encoded state of the table. An error has the kind Internal.
func (tab *Table) Snapshot() ([]byte, error) {
	img := tableImage{
		Version: tab.version,
		Floor:   tab.floor,
		Targets: map[uint32]string{},
	}
	for _, sta := range tab.terms {
		img.Terms = append(img.Terms, Position{
			Term:  sta.term,
			Index: sta.index,
		})
	}
	for _, own := range tab.owners {
		img.Owners = append(img.Owners, own.name)
	}
	count := uint32(0)
	for id, hom := range tab.services {
		ser := serviceImage{
			Name:      hom.name,
			Slots:     hom.slots,
			LastEpoch: hom.lastEpoch,
		}
		for _, spa := range hom.spans {
			ser.Firsts = append(ser.Firsts, spa.first)
			ser.Lasts = append(ser.Lasts, spa.last)
			img.Slots = append(img.Slots, tab.columns(uint32(id), spa, count, img.Targets))
			count += spa.last - spa.first + 1
		}
		img.Services = append(img.Services, ser)
	}
	img.Splits = tab.splitImages()
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode the slot table")
	}
	return buf.Bytes(), nil
}

func (tab *Table) columns(id uint32, spa span, count uint32, targets map[uint32]string) slotColumns {
	size := spa.last - spa.first + 1
	col := slotColumns{
		Service: id,
		First:   spa.first,
		Owner:   make([]uint32, size),
		Epoch:   make([]uint64, size),
		Changed: make([]uint64, size),
		State:   make([]byte, size),
	}
	for i := range size {
		cel := &tab.cells[spa.base+i]
		col.Owner[i] = cel.owner
		col.Epoch[i] = cel.epoch
		col.Changed[i] = cel.changed
		col.State[i] = cel.state
		if name, ok := tab.targets[spa.base+i]; ok {
			targets[count+i] = name
		}
	}
	return col
}

func (tab *Table) splitImages() []splitImage {
	var images []splitImage
	removed := map[uint32]bool{}
	for _, ref := range tab.tombstones {
		removed[ref] = true
	}
	for ref, nam := range tab.splitNames {
		if _, live := tab.splits[nam]; (!live || tab.splits[nam] != ref) && !removed[ref] {
			continue
		}
		cel := &tab.cells[ref]
		images = append(images, splitImage{
			Service: nam.service,
			Number:  nam.number,
			Key:     nam.key,
			Owner:   cel.owner,
			Epoch:   cel.epoch,
			Changed: cel.changed,
			State:   cel.state,
			Target:  tab.targets[ref],
		})
	}
	slices.SortFunc(images, func(a, b splitImage) int {
		return cmp.Or(cmp.Compare(a.Changed, b.Changed), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Number, b.Number), cmp.Compare(a.Key, b.Key), cmp.Compare(a.State, b.State))
	})
	return images
}

// Restore replaces the state of the table by a snapshot. If the snapshot cannot be decoded, it leaves the table unchanged
// and returns an error of kind Internal.
func (tab *Table) Restore(snapshot []byte) error {
	var img tableImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the slot table")
	}
	fresh := Table{}
	fresh.init()
	fresh.version = img.Version
	fresh.floor = img.Floor
	for _, pos := range img.Terms {
		fresh.terms = append(fresh.terms, termStart{
			term:  pos.Term,
			index: pos.Index,
		})
	}
	fresh.restoreSlots(&img)
	fresh.restoreSplits(&img)
	fresh.relink()
	*tab = fresh
	return nil
}

func (tab *Table) restoreSlots(img *tableImage) {
	for id, ser := range img.Services {
		hom := homedService{
			name:      ser.Name,
			slots:     ser.Slots,
			lastEpoch: ser.LastEpoch,
		}
		tab.byName[ser.Name] = uint32(id)
		tab.services = append(tab.services, hom)
	}
	for _, col := range img.Slots {
		base := uint32(len(tab.cells))
		for i := range col.State {
			tab.cells = append(tab.cells, cell{
				epoch:   col.Epoch[i],
				changed: col.Changed[i],
				state:   col.State[i],
			})
			if col.Owner[i] != 0 {
				tab.linkOwner(base+uint32(i), img.Owners[col.Owner[i]])
			}
		}
		hom := &tab.services[col.Service]
		hom.spans = append(hom.spans, span{
			service: col.Service,
			first:   col.First,
			last:    col.First + uint32(len(col.State)) - 1,
			base:    base,
		})
		tab.slotCount += len(col.State)
	}
	for at, name := range img.Targets {
		tab.targets[at+1] = name
	}
	tab.indexSpans()
}

func (tab *Table) restoreSplits(img *tableImage) {
	for _, spl := range img.Splits {
		ref := uint32(len(tab.cells))
		tab.cells = append(tab.cells, cell{
			epoch:   spl.Epoch,
			changed: spl.Changed,
			state:   spl.State,
		})
		nam := cellName{
			service: spl.Service,
			number:  spl.Number,
			key:     spl.Key,
		}
		tab.splitNames[ref] = nam
		if spl.State == stateAbsent {
			tab.tombstones = append(tab.tombstones, ref)
			continue
		}
		tab.splits[nam] = ref
		if spl.Owner != 0 {
			tab.linkOwner(ref, img.Owners[spl.Owner])
		}
		if spl.Target != "" {
			tab.targets[ref] = spl.Target
		}
	}
}

// relink rebuilds the list of changed cells.
func (tab *Table) relink() {
	var refs []uint32
	for ref := 1; ref < len(tab.cells); ref++ {
		if tab.cells[ref].changed != 0 {
			refs = append(refs, uint32(ref))
		}
	}
	slices.SortStableFunc(refs, func(a, b uint32) int {
		return cmp.Compare(tab.cells[a].changed, tab.cells[b].changed)
	})
	for _, ref := range refs {
		tab.linkChange(ref, Position{
			Index: tab.cells[ref].changed,
		})
	}
}
