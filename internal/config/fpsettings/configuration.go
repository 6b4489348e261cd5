package fpsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// DefaultSlots is the number of slots of a service that sets none.
const DefaultSlots = 4096

// LoadConfiguration reads a configuration file: the JSON form of foxtailpulley.operator.v1.Configuration, in which the field
// schemaFile may name a schema file instead of the field schema. A relative path is relative to the folder of the configuration
// file. The error is of kind InvalidConfiguration.
func LoadConfiguration(path string) (*fpoperator.Configuration, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "read the configuration file")
	}
	return ParseConfiguration(data, filepath.Dir(path))
}

// ParseConfiguration reads the text of a configuration file like LoadConfiguration. A relative schemaFile is relative to folder.
func ParseConfiguration(data []byte, folder string) (*fpoperator.Configuration, error) {
	schemaFile, data, err := cutSchemaFile(data)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "parse the configuration")
	}
	cfg := &fpoperator.Configuration{}
	if err := protojson.Unmarshal(data, cfg); err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "parse the configuration")
	}
	if schemaFile == "" {
		return cfg, nil
	}
	if cfg.GetSchema() != "" {
		return nil, fperror.New(fperror.InvalidConfiguration, "configuration: schema and schemaFile are both set")
	}
	text, err := readFile(resolve(folder, schemaFile))
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "read the file that schemaFile names")
	}
	cfg.Schema = string(text)
	return cfg, nil
}

// cutSchemaFile returns the value of the field schemaFile, or "", and the data without it, because the message has no such field.
func cutSchemaFile(data []byte) (schemaFile string, rest []byte, err error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return "", nil, err
	}
	raw, present := fields["schemaFile"]
	if !present {
		return "", data, nil
	}
	if err := json.Unmarshal(raw, &schemaFile); err != nil {
		return "", nil, err
	}
	delete(fields, "schemaFile")
	rest, err = json.Marshal(fields)
	return schemaFile, rest, err
}

// FormatConfiguration returns the JSON form of a configuration, indented by two spaces, with a newline at the end.
func FormatConfiguration(cfg *fpoperator.Configuration) ([]byte, error) {
	data, err := protojson.Marshal(cfg)
	if err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "encode the configuration as JSON")
	}
	// The white space of protojson differs between builds, so outputs with its own indentation could not be compared.
	var buf bytes.Buffer
	if err := json.Indent(&buf, data, "", "  "); err != nil {
		return nil, fperror.Wrap(fperror.InvalidConfiguration, err, "encode the configuration as JSON")
	}
	buf.WriteByte('\n')
	return buf.Bytes(), nil
}

// CheckConfiguration returns the faults of a configuration that names groups or VMs that the settings do not have, or in which a
// slot does not have exactly one home. It does not compile the schema.
func (set *Settings) CheckConfiguration(cfg *fpoperator.Configuration) []Fault {
	doc := &document{}
	if strings.TrimSpace(cfg.GetSchema()) == "" {
		doc.fault("schema", nil, "the text of a schema file, or schemaFile with its path")
	}
	if len(cfg.GetServices()) == 0 {
		doc.fault("services", nil, "a list of at least one service")
	}
	names := map[string]bool{}
	for at, svc := range cfg.GetServices() {
		path := index("services", at)
		if svc.GetName() == "" || names[svc.GetName()] {
			doc.fault(path+".name", svc.GetName(), "the full name of a service of the schema, each once")
		}
		names[svc.GetName()] = true
		set.checkHomes(doc, path, svc)
	}
	for at, name := range cfg.GetDrainedVms() {
		if _, found := set.FindVM(name); !found {
			doc.fault(index("drainedVms", at), name, "the name of a VM in vms")
		}
	}
	return doc.faults
}

func (set *Settings) checkHomes(doc *document, path string, svc *fpoperator.Service) {
	slots := svc.GetSlots()
	if slots == 0 {
		slots = DefaultSlots
	}
	for at, home := range svc.GetHomes() {
		field := index(path+".homes", at)
		gro, found := set.FindGroup(home.GetGroup())
		if !found || len(gro.scope) == 0 {
			doc.fault(field+".group", home.GetGroup(), "a group with a scope: "+strings.Join(set.homeGroups(), ", "))
		}
		if home.GetFirstSlot() > home.GetLastSlot() || home.GetLastSlot() >= slots {
			doc.fault(field+".lastSlot", home.GetLastSlot(), fmt.Sprintf("a slot from firstSlot to %d", slots-1))
		}
	}
	set.checkCoverage(doc, path+".homes", slots, svc.GetHomes())
}

// checkCoverage reports the first slot that has no home or more than one.
func (set *Settings) checkCoverage(doc *document, field string, slots uint32, homes []*fpoperator.Home) {
	sorted := slices.Clone(homes)
	slices.SortFunc(sorted, func(a, b *fpoperator.Home) int {
		return int(int64(a.GetFirstSlot()) - int64(b.GetFirstSlot()))
	})
	next := uint64(0)
	accepted := fmt.Sprintf("ranges that hold each slot from 0 to %d once", slots-1)
	for _, home := range sorted {
		if uint64(home.GetFirstSlot()) != next {
			doc.fault(field, fmt.Sprintf("slot %d", min(next, uint64(home.GetFirstSlot()))), accepted)
			return
		}
		next = uint64(home.GetLastSlot()) + 1
	}
	if next != uint64(slots) {
		doc.fault(field, fmt.Sprintf("slot %d", min(next, uint64(slots))), accepted)
	}
}

// homeGroups returns the names of the groups with a scope, which may be homes of slots.
func (set *Settings) homeGroups() []string {
	var names []string
	for _, gro := range set.groups {
		if len(gro.scope) > 0 {
			names = append(names, gro.name)
		}
	}
	return names
}
