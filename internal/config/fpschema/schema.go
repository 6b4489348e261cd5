// Package fpschema compiles schema files. A schema file is a proto file that declares services and methods and, by options, how
// the router treats them. The package also extracts keys from request bodies and maps keys to slots.
package fpschema

import (
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
)

// DefaultDeadline applies to requests of methods that declare no deadline.
const DefaultDeadline = 5 * time.Second

// Schema is a compiled schema file. Use Compile to create one. It is immutable.
type Schema struct {
	methods  map[string]*Method
	services []*Service
}

// Service is one service of a schema.
type Service struct {
	name      string
	keyed     bool
	homeField string
	methods   []*Method
}

// Method holds the rules of one method.
type Method struct {
	service      *Service
	path         string
	name         string
	execution    fpoption.Execution
	priority     fpoption.Priority
	deadline     time.Duration
	size         fpoption.SizeClass
	key          fieldPath
	home         fieldPath
	clientStream bool
	serverStream bool
}

// Method returns the method with the path /package.Service/Method, or nil if there is none. A nil schema has no methods.
func (sch *Schema) Method(path string) *Method {
	if sch == nil {
		return nil
	}
	return sch.methods[path]
}

// Services returns the services in the order of the file.
func (sch *Schema) Services() []*Service { return sch.services }

// Name returns the full name of the service.
func (ser *Service) Name() string { return ser.name }

// Keyed reports whether each key of the service is served by exactly one upstream.
func (ser *Service) Keyed() bool { return ser.keyed }

// HomeField returns the name of the request field that selects the group of a key, or "" if the service has none.
func (ser *Service) HomeField() string { return ser.homeField }

// Methods returns the methods in the order of the file.
func (ser *Service) Methods() []*Method { return ser.methods }

// Service returns the service that the method belongs to.
func (met *Method) Service() *Service { return met.service }

// Path returns /package.Service/Method.
func (met *Method) Path() string { return met.path }

// Name returns the name of the method without its service.
func (met *Method) Name() string { return met.name }

// Keyed reports whether each request goes to the upstream that owns its key.
func (met *Method) Keyed() bool { return met.service.keyed }

// Idempotent reports whether a request may run more than once.
func (met *Method) Idempotent() bool { return met.execution == fpoption.Execution_EXECUTION_IDEMPOTENT }

// Execution returns EXECUTION_IDEMPOTENT or EXECUTION_NON_IDEMPOTENT.
func (met *Method) Execution() fpoption.Execution { return met.execution }

// Priority returns PRIORITY_LOW, PRIORITY_NORMAL or PRIORITY_HIGH.
func (met *Method) Priority() fpoption.Priority { return met.priority }

// Deadline returns the deadline of requests that have none of their own.
func (met *Method) Deadline() time.Duration { return met.deadline }

// Bundle reports whether bodies and answers may be large and are streamed.
func (met *Method) Bundle() bool { return met.size == fpoption.SizeClass_SIZE_CLASS_BUNDLE }

// ClientStream reports whether a request is a stream of messages.
func (met *Method) ClientStream() bool { return met.clientStream }

// ServerStream reports whether an answer is a stream of messages.
func (met *Method) ServerStream() bool { return met.serverStream }

// fieldPath is the path from a request message to a field in it or in a nested message. It has at least one field.
type fieldPath []protoreflect.FieldDescriptor

// last returns the field at the end of the path.
func (pat fieldPath) last() protoreflect.FieldDescriptor { return pat[len(pat)-1] }
