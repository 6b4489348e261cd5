package fpschema

import (
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
)

// build turns a compiled file into a Schema and adds every contradiction to fau.
func build(fil protoreflect.FileDescriptor, fau *faults) *Schema {
	sch := &Schema{
		methods: map[string]*Method{},
	}
	if fil.Services().Len() == 0 {
		fau.add(1, "the file declares no service")
	}
	for i := range fil.Services().Len() {
		buildService(sch, fil.Services().Get(i), fau)
	}
	return sch
}

func buildService(sch *Schema, des protoreflect.ServiceDescriptor, fau *faults) {
	rul := serviceRule(des)
	ser := &Service{
		name:      string(des.FullName()),
		keyed:     rul.GetKeyed(),
		homeField: rul.GetHomeField(),
	}
	if isReserved(des.FullName()) {
		fau.add(lineOf(des), "service %s: the package foxtailpulley is reserved for the router", ser.name)
	}
	if ser.homeField != "" && !ser.keyed {
		fau.add(lineOf(des), "service %s: home_field needs keyed = true", ser.name)
	}
	if des.Methods().Len() == 0 {
		fau.add(lineOf(des), "service %s: has no method", ser.name)
	}
	for i := range des.Methods().Len() {
		met := buildMethod(ser, des.Methods().Get(i), fau)
		ser.methods = append(ser.methods, met)
		sch.methods[met.path] = met
	}
	sch.services = append(sch.services, ser)
}

func buildMethod(ser *Service, des protoreflect.MethodDescriptor, fau *faults) *Method {
	rul := methodRule(des)
	met := &Method{
		service:      ser,
		path:         "/" + ser.name + "/" + string(des.Name()),
		name:         string(des.Name()),
		execution:    rul.GetExecution(),
		priority:     rul.GetPriority(),
		deadline:     DefaultDeadline,
		size:         rul.GetSizeClass(),
		clientStream: des.IsStreamingClient(),
		serverStream: des.IsStreamingServer(),
	}
	setDefaults(met)
	che := &check{
		met: met,
		des: des,
		rul: rul,
		fau: fau,
	}
	che.deadline()
	che.streams()
	che.key()
	che.home()
	return met
}

// setDefaults replaces unset enums; an undeclared execution is non-idempotent because that is the safe choice.
func setDefaults(met *Method) {
	if met.execution == fpoption.Execution_EXECUTION_UNSPECIFIED {
		met.execution = fpoption.Execution_EXECUTION_NON_IDEMPOTENT
	}
	if met.priority == fpoption.Priority_PRIORITY_UNSPECIFIED {
		met.priority = fpoption.Priority_PRIORITY_NORMAL
	}
	if met.size == fpoption.SizeClass_SIZE_CLASS_UNSPECIFIED {
		met.size = fpoption.SizeClass_SIZE_CLASS_SMALL
	}
}

// check looks for contradictions in one method.
type check struct {
	met *Method
	des protoreflect.MethodDescriptor
	rul *fpoption.MethodRule
	fau *faults
}

func (che *check) fault(format string, args ...any) {
	args = append([]any{che.met.path}, args...)
	che.fau.add(lineOf(che.des), "method %s: "+format, args...)
}

func (che *check) deadline() {
	dur := che.rul.GetDefaultDeadline()
	if dur == nil {
		return
	}
	if err := dur.CheckValid(); err != nil {
		che.fault("default_deadline: %v", err)
		return
	}
	if dur.AsDuration() <= 0 {
		che.fault("default_deadline is %v, it must be greater than 0", dur.AsDuration())
		return
	}
	che.met.deadline = dur.AsDuration()
}

// streams refuses a non-idempotent stream of requests, because a claim needs a digest of the whole request before its
// first byte goes to an upstream.
func (che *check) streams() {
	if che.met.clientStream && !che.met.Idempotent() {
		che.fault("a non-idempotent method cannot take a stream of requests")
	}
}

func (che *check) key() {
	name := che.rul.GetKeyField()
	switch {
	case che.met.Keyed() && name == "":
		che.fault("the service is keyed, so key_field must be set")
		return
	case !che.met.Keyed() && name != "":
		che.fault("key_field is %q, but the service is not keyed", name)
		return
	case name == "":
		return
	}
	pat, ok := che.path("key_field", name)
	if !ok {
		return
	}
	if !isKeyKind(pat.last().Kind()) {
		che.fault("key_field %q is of type %v, it must be a string, bytes or an integer", name, pat.last().Kind())
		return
	}
	che.met.key = pat
}

func (che *check) home() {
	name := che.met.service.homeField
	if name == "" {
		return
	}
	pat, ok := che.path("home_field", name)
	if !ok {
		return
	}
	if pat.last().Kind() != protoreflect.StringKind {
		che.fault("home_field %q is of type %v, it must be a string", name, pat.last().Kind())
		return
	}
	che.met.home = pat
}

// path resolves a dotted name in the request message.
func (che *check) path(option, name string) (fieldPath, bool) {
	var pat fieldPath
	msg := che.des.Input()
	for _, part := range strings.Split(name, ".") {
		if msg == nil {
			che.fault("%s %q: %s is not a message", option, name, pat.last().Name())
			return nil, false
		}
		fie := msg.Fields().ByName(protoreflect.Name(part))
		if fie == nil {
			che.fault("%s %q: %s has no field %q", option, name, msg.FullName(), part)
			return nil, false
		}
		if fie.Cardinality() == protoreflect.Repeated {
			che.fault("%s %q: the field %q is repeated", option, name, part)
			return nil, false
		}
		if one := fie.ContainingOneof(); one != nil && !one.IsSynthetic() {
			che.fault("%s %q: the field %q is part of a oneof", option, name, part)
			return nil, false
		}
		if fie.Kind() == protoreflect.GroupKind {
			che.fault("%s %q: the field %q is a group", option, name, part)
			return nil, false
		}
		if hasOwnJSON(msg) {
			che.fault("%s %q: the JSON form of %s is no object with fields", option, name, msg.FullName())
			return nil, false
		}
		pat = append(pat, fie)
		msg = fie.Message()
	}
	return pat, true
}

// hasOwnJSON reports whether a message is one of the well-known types whose JSON form is not made of its fields.
func hasOwnJSON(msg protoreflect.MessageDescriptor) bool {
	switch msg.ParentFile().Path() {
	case "google/protobuf/any.proto", "google/protobuf/duration.proto", "google/protobuf/field_mask.proto",
		"google/protobuf/struct.proto", "google/protobuf/timestamp.proto", "google/protobuf/wrappers.proto":
		return true
	default:
		return false
	}
}

// isKeyKind reports whether a key may have the kind. Floats and booleans are excluded: the first have several spellings
// of one value, and the second make only two keys.
func isKeyKind(kin protoreflect.Kind) bool {
	switch kin {
	case protoreflect.StringKind, protoreflect.BytesKind:
		return true
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind,
		protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind,
		protoreflect.Uint32Kind, protoreflect.Fixed32Kind,
		protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return true
	default:
		return false
	}
}

func serviceRule(des protoreflect.ServiceDescriptor) *fpoption.ServiceRule {
	opts := &descriptorpb.ServiceOptions{}
	reparse(des.Options(), opts)
	rul, _ := proto.GetExtension(opts, fpoption.E_ServiceRule).(*fpoption.ServiceRule)
	return rul
}

func methodRule(des protoreflect.MethodDescriptor) *fpoption.MethodRule {
	opts := &descriptorpb.MethodOptions{}
	reparse(des.Options(), opts)
	rul, _ := proto.GetExtension(opts, fpoption.E_MethodRule).(*fpoption.MethodRule)
	return rul
}

// reparse copies options into a generated type, because the compiler stores extensions as dynamic messages. Encoding
// options that the compiler produced cannot fail.
func reparse(from, into proto.Message) {
	raw, err := proto.Marshal(from)
	if err != nil {
		return
	}
	_ = proto.Unmarshal(raw, into)
}
