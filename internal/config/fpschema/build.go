package fpschema

import (
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
)

// build converts a compiled file to a Schema and adds invalid and contradictory options to fau.
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

// setDefaults replaces unspecified enum values. An unspecified execution becomes non-idempotent, because that is safe for every
// method.
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

// check checks the options of one method and resolves its key and home fields.
type check struct {
	met *Method
	des protoreflect.MethodDescriptor
	rul *fpoption.MethodRule
	fau *faults
}

// fault records a fault of the method.
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

// streams refuses a non-idempotent method that takes a stream of messages. Such a request needs a claim with the digest of the
// complete request before its first byte may go to an upstream.
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

// path resolves a dotted field name in the request message. It records a fault and returns false if the name cannot be resolved,
// or if a field on the path is repeated, a group, part of a oneof, or in a message that has its own JSON form.
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
		if oneof := fie.ContainingOneof(); oneof != nil && !oneof.IsSynthetic() {
			che.fault("%s %q: the field %q is part of a oneof", option, name, part)
			return nil, false
		}
		if fie.Kind() == protoreflect.GroupKind {
			che.fault("%s %q: the field %q is a group", option, name, part)
			return nil, false
		}
		if hasSpecialJSON(msg) {
			che.fault("%s %q: the JSON form of %s is not an object with its fields", option, name, msg.FullName())
			return nil, false
		}
		pat = append(pat, fie)
		msg = fie.Message()
	}
	return pat, true
}

// hasSpecialJSON reports whether a message is one of the well-known types whose JSON form is not an object with its fields.
func hasSpecialJSON(msg protoreflect.MessageDescriptor) bool {
	switch msg.ParentFile().Path() {
	case "google/protobuf/any.proto", "google/protobuf/duration.proto", "google/protobuf/field_mask.proto",
		"google/protobuf/struct.proto", "google/protobuf/timestamp.proto", "google/protobuf/wrappers.proto":
		return true
	default:
		return false
	}
}

// isKeyKind reports whether a key field may have the kind. Floats are excluded because one value has several spellings in JSON,
// and booleans because they give only two keys.
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

// serviceRule returns the service_rule option of a service, or nil.
func serviceRule(des protoreflect.ServiceDescriptor) *fpoption.ServiceRule {
	opts := &descriptorpb.ServiceOptions{}
	reparse(des.Options(), opts)
	rul, _ := proto.GetExtension(opts, fpoption.E_ServiceRule).(*fpoption.ServiceRule)
	return rul
}

// methodRule returns the method_rule option of a method, or nil.
func methodRule(des protoreflect.MethodDescriptor) *fpoption.MethodRule {
	opts := &descriptorpb.MethodOptions{}
	reparse(des.Options(), opts)
	rul, _ := proto.GetExtension(opts, fpoption.E_MethodRule).(*fpoption.MethodRule)
	return rul
}

// reparse copies options into a message of a generated type, because the compiler stores extensions as dynamic messages. It
// ignores errors, since options that the compiler produced can always be encoded.
func reparse(from, into proto.Message) {
	raw, err := proto.Marshal(from)
	if err != nil {
		return
	}
	_ = proto.Unmarshal(raw, into)
}
