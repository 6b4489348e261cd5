package fpconfig

import (
	"bytes"
	"encoding/gob"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// maxRequests is the number of request ids whose outcome is stored. At 2,000 changes a day they cover half a day.
const maxRequests = 1024

// Version is the position of a log entry of the root group. It identifies a configuration. The zero value stands for the time
// before the first one.
type Version struct{ Term, Index uint64 }

// Wire returns the wire form, which is nil for the zero version.
func (ver Version) Wire() *fpoperator.Version {
	if ver == (Version{}) {
		return nil
	}
	return &fpoperator.Version{
		Term:  ver.Term,
		Index: ver.Index,
	}
}

// VersionOf returns the version with the given wire form. Nil stands for the zero version.
func VersionOf(ver *fpoperator.Version) Version {
	return Version{
		Term:  ver.GetTerm(),
		Index: ver.GetIndex(),
	}
}

// Outcome is the result of a request to change the configuration. A repeated request gets the same outcome.
type Outcome struct {
	// Accepted is the version of the accepted configuration, or zero if the request was refused.
	Accepted Version
	// Kind is the name of the error kind of a refusal, or "".
	Kind string
	// Message is the error message of a refusal, or "".
	Message string
}

// State is the replicated configuration. The zero value is the state before the first configuration. It is not safe for
// concurrent use.
type State struct {
	version       Version
	configuration *fpoperator.Configuration
	operator      string             // proposed the configuration in force
	request       string             // id of its request
	outcomes      map[string]Outcome // by request id
	order         []string           // request ids, oldest first
	// removed holds the slots and homes of removed services by name. They stay in force for a new service of the same name.
	removed map[string]*fpoperator.Service
}

// Version returns the version of the configuration in force, or zero before the first one.
func (sta *State) Version() Version { return sta.version }

// Configuration returns the configuration in force, or nil before the first one. The caller must not modify it.
func (sta *State) Configuration() *fpoperator.Configuration { return sta.configuration }

// KnownConfiguration returns a configuration with the services in force and those that were removed earlier, and with no other
// fields. It is meant as the old configuration of Validator.Faults.
func (sta *State) KnownConfiguration() *fpoperator.Configuration {
	known := &fpoperator.Configuration{
		Services: append([]*fpoperator.Service{}, sta.configuration.GetServices()...),
	}
	for _, ser := range sta.removed {
		known.Services = append(known.Services, ser)
	}
	return known
}

// Outcome returns the stored outcome of a request id. It returns false for an id that is unknown or no longer stored.
func (sta *State) Outcome(request string) (Outcome, bool) {
	out, ok := sta.outcomes[request]
	return out, ok
}

// Apply accepts or refuses a proposed configuration, which the log holds at position pos. A request id with a stored outcome
// gets that outcome again. The command is refused as VersionConflict unless it expects the version in force, and as
// InvalidConfiguration if it changes what may never change. All other validation is done before the proposal and not here,
// because replicas of different releases must come to the same decision.
func (sta *State) Apply(pos Version, cmd *fpwire.Configure) Outcome {
	if cmd.GetRequestId() == "" {
		return refusal(fperror.New(fperror.InvalidRequest, "the request has no id"))
	}
	if out, ok := sta.outcomes[cmd.GetRequestId()]; ok {
		return out
	}
	out := sta.decide(pos, cmd)
	sta.recordOutcome(cmd.GetRequestId(), out)
	return out
}

// decide accepts or refuses a command with a new request id.
func (sta *State) decide(pos Version, cmd *fpwire.Configure) Outcome {
	if expected := VersionOf(cmd.GetExpected()); expected != sta.version {
		return refusal(fperror.New(fperror.VersionConflict,
			"expected version (%d, %d), but version (%d, %d) of operator %q, request %q, is in force", expected.Term,
			expected.Index, sta.version.Term, sta.version.Index, sta.operator, sta.request))
	}
	if err := AsError(ImmutableFaults(sta.KnownConfiguration(), cmd.GetConfiguration())); err != nil {
		return refusal(err)
	}
	sta.recordRemoved(cmd.GetConfiguration())
	sta.version = pos
	sta.configuration = cmd.GetConfiguration()
	sta.operator = cmd.GetOperator()
	sta.request = cmd.GetRequestId()
	return Outcome{
		Accepted: pos,
	}
}

func refusal(err error) Outcome {
	return Outcome{
		Kind:    fperror.KindOf(err).String(),
		Message: err.Error(),
	}
}

// recordRemoved stores the slots and homes of the services that are in force and missing in next.
func (sta *State) recordRemoved(next *fpoperator.Configuration) {
	if sta.removed == nil {
		sta.removed = map[string]*fpoperator.Service{}
	}
	for _, ser := range sta.configuration.GetServices() {
		sta.removed[ser.GetName()] = &fpoperator.Service{
			Name:  ser.GetName(),
			Slots: ser.GetSlots(),
			Homes: ser.GetHomes(),
		}
	}
	for _, ser := range next.GetServices() {
		delete(sta.removed, ser.GetName())
	}
}

// recordOutcome stores the outcome of a request id and drops the oldest one if there are too many.
func (sta *State) recordOutcome(request string, out Outcome) {
	if sta.outcomes == nil {
		sta.outcomes = map[string]Outcome{}
	}
	sta.outcomes[request] = out
	sta.order = append(sta.order, request)
	if len(sta.order) > maxRequests {
		delete(sta.outcomes, sta.order[0])
		sta.order = sta.order[1:]
	}
}

// stateImage is the stored form of a State, encoded by gob.
type stateImage struct {
	Version       Version
	Configuration []byte
	Operator      string
	Request       string
	Requests      []string
	Outcomes      []Outcome
	Past          []byte // a wire configuration that holds only the removed services
}

// Snapshot returns the encoded state.
func (sta *State) Snapshot() ([]byte, error) {
	img := stateImage{
		Version:  sta.version,
		Operator: sta.operator,
		Request:  sta.request,
		Requests: sta.order,
	}
	for _, req := range sta.order {
		img.Outcomes = append(img.Outcomes, sta.outcomes[req])
	}
	removed := &fpoperator.Configuration{}
	for _, ser := range sta.removed {
		removed.Services = append(removed.Services, ser)
	}
	var err error
	if img.Past, err = proto.Marshal(removed); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode the removed services")
	}
	if sta.configuration != nil {
		if img.Configuration, err = proto.Marshal(sta.configuration); err != nil {
			return nil, fperror.Wrap(fperror.Internal, err, "encode the configuration")
		}
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, fperror.Wrap(fperror.Internal, err, "encode the state of the configuration")
	}
	return buf.Bytes(), nil
}

// Restore replaces the state by that of a snapshot. The state is unchanged if it returns an error.
func (sta *State) Restore(snapshot []byte) error {
	var img stateImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the state of the configuration")
	}
	restored := State{
		version:  img.Version,
		operator: img.Operator,
		request:  img.Request,
		removed:  map[string]*fpoperator.Service{},
	}
	for i, req := range img.Requests {
		restored.recordOutcome(req, img.Outcomes[i])
	}
	if img.Version != (Version{}) {
		restored.configuration = &fpoperator.Configuration{}
		if err := proto.Unmarshal(img.Configuration, restored.configuration); err != nil {
			return fperror.Wrap(fperror.Internal, err, "decode the configuration")
		}
	}
	removed := &fpoperator.Configuration{}
	if err := proto.Unmarshal(img.Past, removed); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the removed services")
	}
	for _, ser := range removed.GetServices() {
		restored.removed[ser.GetName()] = ser
	}
	*sta = restored
	return nil
}
