package fpsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDepth is the maximum nesting of a settings file; valid files have a depth of 4. json.Decoder.Token has no limit, so a file
// of many opening brackets would exhaust the stack.
const maxDepth = 16

// missing stands for the value of an absent field in faults.
const missing = "(missing)"

// namePattern matches the names of VMs, groups, data centres and regions. They are used as file names, header values and labels
// of counters.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const acceptedName = "1 to 63 lower-case letters, digits and inner hyphens"

// document collects the faults of a settings file while it is read, because an operator wants to see all of them at once.
type document struct {
	faults []Fault
}

func (doc *document) fault(path string, value any, accepted string) {
	doc.faults = append(doc.faults, NewFault(path, formatValue(value), accepted))
}

// formatValue returns the JSON form of a value, shortened to 120 characters, or "(missing)" for nil.
func formatValue(value any) string {
	if value == nil {
		return missing
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return fmt.Sprint(value)
	}
	text := []rune(strings.TrimSpace(buf.String()))
	const longest = 120
	if len(text) > longest {
		return string(text[:longest]) + "…"
	}
	return string(text)
}

// null stands for the JSON literal null. It differs from nil, which stands for an absent field.
type null struct{}

func (null) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// decode returns the values of a JSON object, or reports a fault and returns false. Unlike json.Unmarshal it reports a field that
// occurs twice.
func (doc *document) decode(data []byte) (tree map[string]any, ok bool) {
	const accepted = "one JSON object"
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	value, err := doc.decodeValue(dec, "", 0)
	if err != nil {
		doc.fault("(file)", fmt.Sprintf("at byte %d: %v", dec.InputOffset(), err), accepted)
		return nil, false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		doc.fault("(file)", fmt.Sprintf("at byte %d: text after the end", dec.InputOffset()), accepted)
		return nil, false
	}
	tree, ok = value.(map[string]any)
	if !ok {
		doc.fault("(file)", value, accepted)
	}
	return tree, ok
}

func (doc *document) decodeValue(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.Newf("more than %d levels", maxDepth)
	}
	tok, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch tok {
	case json.Delim('{'):
		return doc.decodeObject(dec, path, depth)
	case json.Delim('['):
		return doc.decodeList(dec, path, depth)
	case nil:
		return null{}, nil
	}
	return tok, nil
}

func (doc *document) decodeObject(dec *json.Decoder, path string, depth int) (any, error) {
	fields := map[string]any{}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, ok := tok.(string)
		if !ok {
			return nil, errors.Newf("field name %v is not a string", tok)
		}
		value, err := doc.decodeValue(dec, join(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		if _, twice := fields[name]; twice {
			doc.fault(join(path, name), value, "the field once")
		}
		fields[name] = value
	}
	_, err := dec.Token()
	return fields, err
}

func (doc *document) decodeList(dec *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		value, err := doc.decodeValue(dec, index(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := dec.Token()
	return list, err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, at int) string {
	return path + "[" + strconv.Itoa(at) + "]"
}

// object reads the fields of one JSON object. Its methods report invalid fields and then return a zero value or the default. An
// object that is absent or of another type is read like one without fields.
type object struct {
	doc    *document
	path   string
	fields map[string]any
	known  map[string]bool // names that were looked up
	// silent suppresses the faults of fields, because a fault of the object itself has been reported.
	silent bool
}

// object returns a reader of a JSON object, and reports a value that is none.
func (doc *document) object(path string, value any) *object {
	fields, ok := value.(map[string]any)
	if !ok {
		doc.fault(path, value, "an object")
	}
	return &object{
		doc:    doc,
		path:   path,
		fields: fields,
		known:  map[string]bool{},
		silent: !ok,
	}
}

// close reports the fields that were not looked up, which are unknown ones.
func (obj *object) close() {
	for _, name := range slices.Sorted(maps.Keys(obj.fields)) {
		if !obj.known[name] {
			known := strings.Join(slices.Sorted(maps.Keys(obj.known)), ", ")
			obj.fault(name, obj.fields[name], "no such field; the fields are "+known)
		}
	}
}

func (obj *object) fault(name string, value any, accepted string) {
	if !obj.silent {
		obj.doc.fault(join(obj.path, name), value, accepted)
	}
}

// lookup returns the value of a field and marks its name as known.
func (obj *object) lookup(name string) (value any, present bool) {
	obj.known[name] = true
	value, present = obj.fields[name]
	return value, present
}

// object returns a reader of a required object.
func (obj *object) object(name string) *object {
	value, _ := obj.lookup(name)
	if obj.silent {
		return &object{
			doc:    obj.doc,
			path:   join(obj.path, name),
			known:  map[string]bool{},
			silent: true,
		}
	}
	return obj.doc.object(join(obj.path, name), value)
}

// optional returns a reader of an object, or nil if it is absent.
func (obj *object) optional(name string) *object {
	if _, present := obj.lookup(name); !present {
		return nil
	}
	return obj.object(name)
}

// optionalOrEmpty returns a reader of an object. An absent one reads like an empty one, in which every field has its default.
func (obj *object) optionalOrEmpty(name string) *object {
	if sub := obj.optional(name); sub != nil {
		return sub
	}
	return obj.doc.object(join(obj.path, name), map[string]any{})
}

// eachObject calls read for each object of a required list. An absent or empty list is reported.
func (obj *object) eachObject(name string, accepted string, read func(item *object)) {
	value, _ := obj.lookup(name)
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		obj.fault(name, value, accepted)
		return
	}
	for at, entry := range list {
		item := obj.doc.object(index(join(obj.path, name), at), entry)
		read(item)
		item.close()
	}
}

// text reads a required string that must satisfy isValid. It returns "" after a fault.
func (obj *object) text(name, accepted string, isValid func(text string) bool) string {
	value, _ := obj.lookup(name)
	text, ok := value.(string)
	if !ok || !isValid(text) {
		obj.fault(name, value, accepted)
		return ""
	}
	return text
}

// name reads a required name of a VM, group, data centre or region.
func (obj *object) name(name string) string {
	return obj.text(name, acceptedName, namePattern.MatchString)
}

// choice reads one of several strings. An absent field has the value fallback.
func (obj *object) choice(name, fallback string, choices ...string) string {
	if _, present := obj.lookup(name); !present {
		return fallback
	}
	return obj.text(name, strings.Join(choices, ", "), func(text string) bool {
		return slices.Contains(choices, text)
	})
}

// file reads an optional path. It returns "" for an absent field.
func (obj *object) file(name string) string {
	if _, present := obj.lookup(name); !present {
		return ""
	}
	return obj.text(name, "a path", func(text string) bool { return text != "" && !strings.ContainsRune(text, 0) })
}

const acceptedAddress = "an IP number and a port from 1 to 65535, such as 127.0.0.1:7000"

// address reads a required IP number and port. It returns the zero value after a fault.
func (obj *object) address(name string) netip.AddrPort {
	text := obj.text(name, acceptedAddress, func(text string) bool {
		adr, err := netip.ParseAddrPort(text)
		return err == nil && adr.Port() != 0
	})
	adr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(adr.Addr().Unmap(), adr.Port())
}

// texts reads an optional list of distinct strings. Invalid entries are reported and left out.
func (obj *object) texts(name, accepted string, isValid func(text string) bool) []string {
	value, present := obj.lookup(name)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		obj.fault(name, value, "a list of "+accepted)
		return nil
	}
	var texts []string
	for at, entry := range list {
		text, ok := entry.(string)
		if !ok || !isValid(text) {
			obj.fault(index(name, at), entry, accepted)
			continue
		}
		if slices.Contains(texts, text) {
			obj.fault(index(name, at), entry, "each entry once")
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// flag reads an optional boolean. It returns false for an absent field.
func (obj *object) flag(name string) bool {
	value, present := obj.lookup(name)
	if !present {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		obj.fault(name, value, "true or false")
	}
	return flag
}

// countRange holds the default of an integer field and its smallest and largest accepted value.
type countRange struct {
	fallback, low, high int64
}

// count reads an optional integer. It returns the default for an absent field and after a fault.
func (obj *object) count(name string, ran countRange) int64 {
	value, present := obj.lookup(name)
	if !present {
		return ran.fallback
	}
	num, _ := value.(json.Number)
	count, err := strconv.ParseInt(string(num), 10, 64)
	if err != nil || count < ran.low || count > ran.high {
		obj.fault(name, value, fmt.Sprintf("a whole number from %d to %d", ran.low, ran.high))
		return ran.fallback
	}
	return count
}

// durationRange holds the default of a duration field and its smallest and largest accepted value.
type durationRange struct {
	fallback, low, high time.Duration
}

// duration reads an optional duration. It returns the default for an absent field and after a fault.
func (obj *object) duration(name string, ran durationRange) time.Duration {
	value, present := obj.lookup(name)
	if !present {
		return ran.fallback
	}
	text, _ := value.(string)
	dur, err := time.ParseDuration(text)
	if err != nil || dur < ran.low || dur > ran.high {
		obj.fault(name, value, fmt.Sprintf("a duration from %q to %q", ran.low, ran.high))
		return ran.fallback
	}
	return dur
}
