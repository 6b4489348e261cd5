package fpconfig

import (
	"bytes"
	"encoding/gob"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/wire/fpwire"
)

// maxRequests is the number of request ids whose first answer is kept: half a day at 2,000 changes a day.
const maxRequests = 1024

// Version is a position in the log of the root group, in the form that State stores.
type Version struct{ Term, Index uint64 }

// Wire returns the wire form; the zero version is nil.
func (ver Version) Wire() *fpoperator.Version {
	if ver == (Version{}) {
		return nil
	}
	return &fpoperator.Version{
		Term:  ver.Term,
		Index: ver.Index,
	}
}

// VersionOf returns the version of a wire form; nil is the zero version.
func VersionOf(ver *fpoperator.Version) Version {
	return Version{
		Term:  ver.GetTerm(),
		Index: ver.GetIndex(),
	}
}

// Outcome is the first answer to a request id.
type Outcome struct {
	// Accepted is the version of the accepted configuration; zero when the request was refused.
	Accepted Version
	// Kind is the error kind of a refusal, else "".
	Kind    string
	Message string
}

// State is the replicated configuration. The zero value is the state before the first configuration. It is not safe for
// concurrent use.
type State struct {
	version       Version
	configuration *fpoperator.Configuration
	operator      string
	request       string
	outcomes      map[string]Outcome
	order         []string // request ids, oldest first
	// past holds the service part of removed services, since slots and homes stay fixed when a name is used again.
	past map[string]*fpoperator.Service
}

// Version returns the version of the configuration in force; zero before the first.
func (sta *State) Version() Version { return sta.version }

// Configuration returns the configuration in force, or nil. It must not be changed.
func (sta *State) Configuration() *fpoperator.Configuration { return sta.configuration }

// Known returns the configuration in force with the services that were removed earlier, to be used as the old
// configuration of Validator.Faults.
func (sta *State) Known() *fpoperator.Configuration {
	known := &fpoperator.Configuration{
		Services: append([]*fpoperator.Service{}, sta.configuration.GetServices()...),
	}
	for _, ser := range sta.past {
		known.Services = append(known.Services, ser)
	}
	return known
}

// Outcome returns the first answer to a request id.
func (sta *State) Outcome(request string) (Outcome, bool) {
	out, ok := sta.outcomes[request]
	return out, ok
}

// Apply decides a proposed configuration. A known request id gets its first answer. The command is refused as
// VersionConflict unless it expects the version in force, and as InvalidConfiguration when it changes what never may
// change. All other validation happens before the proposal, so that replicas of different releases decide alike.
func (sta *State) Apply(pos Version, cmd *fpwire.Configure) Outcome {
	if cmd.GetRequestId() == "" {
		return refusal(fperror.New(fperror.InvalidRequest, "the request has no id"))
	}
	if out, ok := sta.outcomes[cmd.GetRequestId()]; ok {
		return out
	}
	out := sta.decide(pos, cmd)
	sta.remember(cmd.GetRequestId(), out)
	return out
}

func (sta *State) decide(pos Version, cmd *fpwire.Configure) Outcome {
	if expected := VersionOf(cmd.GetExpected()); expected != sta.version {
		return refusal(fperror.New(fperror.VersionConflict,
			"expected version (%d, %d), but version (%d, %d) of operator %q, request %q, is in force", expected.Term,
			expected.Index, sta.version.Term, sta.version.Index, sta.operator, sta.request))
	}
	if err := AsError(Frozen(sta.Known(), cmd.GetConfiguration())); err != nil {
		return refusal(err)
	}
	sta.keepRemoved(cmd.GetConfiguration())
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

// keepRemoved remembers slots and homes of the services that next no longer has.
func (sta *State) keepRemoved(next *fpoperator.Configuration) {
	if sta.past == nil {
		sta.past = map[string]*fpoperator.Service{}
	}
	for _, ser := range sta.configuration.GetServices() {
		sta.past[ser.GetName()] = &fpoperator.Service{
			Name:  ser.GetName(),
			Slots: ser.GetSlots(),
			Homes: ser.GetHomes(),
		}
	}
	for _, ser := range next.GetServices() {
		delete(sta.past, ser.GetName())
	}
}

func (sta *State) remember(request string, out Outcome) {
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

// stateImage is the stored form of a State.
type stateImage struct {
	Version       Version
	Configuration []byte
	Operator      string
	Request       string
	Requests      []string
	Outcomes      []Outcome
	Past          []byte // a configuration with the removed services
}

// Snapshot returns the whole state.
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
	past := &fpoperator.Configuration{}
	for _, ser := range sta.past {
		past.Services = append(past.Services, ser)
	}
	var err error
	if img.Past, err = proto.Marshal(past); err != nil {
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

// Restore replaces the whole state by a snapshot. The state is unchanged when it returns an error.
func (sta *State) Restore(snapshot []byte) error {
	var img stateImage
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&img); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the state of the configuration")
	}
	fresh := State{
		version:  img.Version,
		operator: img.Operator,
		request:  img.Request,
		past:     map[string]*fpoperator.Service{},
	}
	for i, req := range img.Requests {
		fresh.remember(req, img.Outcomes[i])
	}
	if img.Version != (Version{}) {
		fresh.configuration = &fpoperator.Configuration{}
		if err := proto.Unmarshal(img.Configuration, fresh.configuration); err != nil {
			return fperror.Wrap(fperror.Internal, err, "decode the configuration")
		}
	}
	past := &fpoperator.Configuration{}
	if err := proto.Unmarshal(img.Past, past); err != nil {
		return fperror.Wrap(fperror.Internal, err, "decode the removed services")
	}
	for _, ser := range past.GetServices() {
		fresh.past[ser.GetName()] = ser
	}
	*sta = fresh
	return nil
}
