package fpschema_test

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/foxtailpulley/foxtailpulley/api/operator/fpoperator"
	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

const header = `syntax = "proto3";
package demo;
import "foxtailpulley/schema/v1/options.proto";
import "google/protobuf/duration.proto";
`

const valid = header + `
service Stock {
  option (foxtailpulley.schema.v1.service_rule) = {keyed: true home_field: "home"};
  rpc Put(Request) returns (Reply) {
    option (foxtailpulley.schema.v1.method_rule) = {
      key_field: "item.sku_code" execution: EXECUTION_NON_IDEMPOTENT priority: PRIORITY_HIGH
      default_deadline: {seconds: 2} size_class: SIZE_CLASS_BUNDLE
    };
  }
  rpc Get(Request) returns (Reply) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "number" execution: EXECUTION_IDEMPOTENT};
  }
  rpc Raw(Request) returns (Reply) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "raw" execution: EXECUTION_IDEMPOTENT};
  }
}
service Plain {
  rpc Do(Request) returns (stream Reply);
}
message Item { string sku_code = 3; }
message Request {
  Item item = 1; sint64 number = 2; string home = 4; bytes raw = 5; repeated string list = 6; double ratio = 7;
  oneof choice { string one = 8; string two = 9; }
}
message Reply {}
`

func compile(t testing.TB, text string) *fpschema.Schema {
	t.Helper()
	sch, err := fpschema.Compile(text)
	if err != nil {
		t.Fatal(err)
	}
	return sch
}

// TestMethodRules guards against options that are misread, and against treating a method with unspecified execution as
// idempotent.
func TestMethodRules(t *testing.T) {
	sch := compile(t, valid)
	put := sch.Method("/demo.Stock/Put")
	if !put.Keyed() || put.Idempotent() || !put.Bundle() || put.Deadline() != 2*time.Second {
		t.Errorf("Put has the wrong rules: %+v", put)
	}
	plain := sch.Method("/demo.Plain/Do")
	if plain.Keyed() || plain.Idempotent() || plain.Bundle() || !plain.ServerStream() || plain.Deadline() != 5*time.Second {
		t.Errorf("Do has the wrong defaults: %+v", plain)
	}
	if sch.Method("/demo.Plain/Missing") != nil || (*fpschema.Schema)(nil).Method("/demo.Plain/Do") != nil {
		t.Error("a method was returned that does not exist")
	}
}

// TestCompileReportsAllFaults guards against accepting invalid options, and against an error without a line or with only the
// first fault.
func TestCompileReportsAllFaults(t *testing.T) {
	text := header + `
service Keyed {
  option (foxtailpulley.schema.v1.service_rule) = {keyed: true home_field: "nowhere"};
  rpc NoKey(Request) returns (Request);
  rpc BadKey(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "missing"};
  }
  rpc Zero(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "key" default_deadline: {}};
  }
  rpc Types(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "ratio"};
  }
  rpc One(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "one"};
  }
  rpc Own(google.protobuf.Duration) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "seconds"};
  }
}
service Loose {
  option (foxtailpulley.schema.v1.service_rule) = {home_field: "key"};
  rpc Key(Request) returns (Request) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "key"};
  }
  rpc Stream(stream Request) returns (Request);
}
message Request { string key = 1; double ratio = 2; oneof choice { string one = 3; string two = 4; } }
`
	_, err := fpschema.Compile(text)
	if !fperror.Is(err, fperror.InvalidConfiguration) {
		t.Fatalf("the schema was accepted: %v", err)
	}
	for _, want := range []string{
		`schema.proto:8: method /demo.Keyed/NoKey: the service is keyed, so key_field must be set`,
		`schema.proto:8: method /demo.Keyed/NoKey: home_field "nowhere": demo.Request has no field "nowhere"`,
		`schema.proto:9: method /demo.Keyed/BadKey: key_field "missing": demo.Request has no field "missing"`,
		`schema.proto:12: method /demo.Keyed/Zero: default_deadline is 0s, it must be greater than 0`,
		`schema.proto:15: method /demo.Keyed/Types: key_field "ratio" is of type double`,
		`schema.proto:18: method /demo.Keyed/One: key_field "one": the field "one" is part of a oneof`,
		`schema.proto:21: method /demo.Keyed/Own: key_field "seconds": the JSON form of google.protobuf.Duration is not an object`,
		`schema.proto:25: service demo.Loose: home_field needs keyed = true`,
		`schema.proto:27: method /demo.Loose/Key: key_field is "key", but the service is not keyed`,
		`schema.proto:30: method /demo.Loose/Stream: a non-idempotent method cannot take a stream of requests`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the fault is not reported: %s\ngot:\n%v", want, err)
		}
	}
}

// TestCompilerFaults guards against errors of the compiler that are reported one at a time or without a line.
func TestCompilerFaults(t *testing.T) {
	_, err := fpschema.Compile(header + "service A { rpc X(M) returns (M); }\nservice A { rpc X(N) returns (M); }\nmessage M {}\n")
	for _, want := range []string{"schema.proto:6: symbol \"demo.A\" already defined", "schema.proto:6:"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in: %v", want, err)
		}
	}
	if _, err := fpschema.Compile(""); err == nil {
		t.Error("an empty file was accepted")
	}
}

// request returns a binary request with the given values of item.sku_code, number and raw, the home oslo and an unknown field.
func request(sku string, number int64, raw []byte) []byte {
	item := protowire.AppendString(protowire.AppendTag(nil, 3, protowire.BytesType), sku)
	msg := protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "unknown")
	msg = protowire.AppendBytes(protowire.AppendTag(msg, 1, protowire.BytesType), item)
	msg = protowire.AppendVarint(protowire.AppendTag(msg, 2, protowire.VarintType), protowire.EncodeZigZag(number))
	msg = protowire.AppendString(protowire.AppendTag(msg, 4, protowire.BytesType), "oslo")
	return protowire.AppendBytes(protowire.AppendTag(msg, 5, protowire.BytesType), raw)
}

func compress(msg []byte) []byte {
	var buf bytes.Buffer
	wri := gzip.NewWriter(&buf)
	_, _ = wri.Write(msg)
	_ = wri.Close()
	return buf.Bytes()
}

func envelope(flag byte, msg []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{flag}, uint32(len(msg))), msg...)
}

// TestExtract guards against a key that depends on the protocol, the encoding or the compression of a request. The same key
// would then have several owners.
func TestExtract(t *testing.T) {
	sch := compile(t, valid)
	msg := request("a-1", -7, []byte{0xff, 0xfe})
	text := []byte(`{"other":[{"item":1}],"item":{"x":{},"skuCode":"a-1"},"number":"-7","home":"oslo","raw":"//4="}`)
	bodies := map[string]fpschema.Body{
		"proto":           {Data: msg},
		"proto gzip":      {Data: compress(msg), Gzip: true},
		"enveloped":       {Data: envelope(0, msg), Enveloped: true},
		"enveloped gzip":  {Data: envelope(1, compress(msg)), Enveloped: true, Gzip: true},
		"enveloped plain": {Data: envelope(0, msg), Enveloped: true, Gzip: true},
		"json":            {Data: text, Format: fpschema.JSON},
		"json gzip":       {Data: compress(text), Format: fpschema.JSON, Gzip: true},
		"json proto name": {Data: []byte(`{"item":{"sku_code":"a-1"},"number":-7.0e0,"home":"oslo","raw":"__4"}`), Format: fpschema.JSON},
	}
	keys := map[string]string{"Put": "a-1", "Get": "-7", "Raw": "\xff\xfe"}
	for name, bod := range bodies {
		for method, want := range keys {
			got, err := sch.Method("/demo.Stock/" + method).Extract(bod)
			if err != nil || string(got.Key) != want || got.Home != "oslo" {
				t.Errorf("%s %s: got %q, %v", name, method, got.Key, err)
			}
		}
	}
}

// TestExtractRefuses guards against accepting a request without a key or with a malformed body, and against decompressing a
// small body without limit.
func TestExtractRefuses(t *testing.T) {
	met := compile(t, valid).Method("/demo.Stock/Put")
	zeros := make([]byte, 2*fpschema.MaxExtract)
	bomb := compress(protowire.AppendBytes(protowire.AppendTag(request("a", 1, nil), 99, protowire.BytesType), zeros))
	for name, bod := range map[string]fpschema.Body{
		"empty":              {},
		"empty key":          {Data: request("", 1, nil)},
		"truncated":          {Data: request("a", 1, nil)[:12]},
		"short envelope":     {Data: []byte{0, 0}, Enveloped: true},
		"truncated envelope": {Data: envelope(0, request("a", 1, nil))[:14], Enveloped: true},
		"not gzip":           {Data: request("a", 1, nil), Gzip: true},
		"undeclared gzip":    {Data: envelope(1, compress(request("a", 1, nil))), Enveloped: true},
		"gzip bomb":          {Data: bomb, Gzip: true},
		"json twice":         {Data: []byte(`{"item":{"skuCode":"a","sku_code":"b"}}`), Format: fpschema.JSON},
		"json number":        {Data: []byte(`{"item":{"skuCode":7}}`), Format: fpschema.JSON},
		"json trailing":      {Data: []byte(`{"item":{"skuCode":"a"},"home":"o"} {}`), Format: fpschema.JSON},
	} {
		if got, err := met.Extract(bod); err == nil {
			t.Errorf("%s: got the key %q", name, got.Key)
		} else if fperror.KindOf(err).Answer().Outcome() != fperror.NotRun {
			t.Errorf("%s: the outcome of the error %v is not notRun", name, err)
		}
	}
	if got, err := met.Extract(fpschema.Body{Data: append(request("a", 1, nil), 0x32, 0x7f, 1), Partial: true}); err != nil || string(got.Key) != "a" {
		t.Errorf("partial: got %q, %v", got.Key, err)
	}
}

// TestSlotDependsOnRequestOnly guards against another slot for a resent request. It could then get a second claim and run twice.
func TestSlotDependsOnRequestOnly(t *testing.T) {
	cfg := &fpoperator.Service{
		Slots: 100,
		Homes: []*fpoperator.Home{
			{Group: "oslo", FirstSlot: 0, LastSlot: 29},
			{Group: "bergen", FirstSlot: 30, LastSlot: 79},
			{Group: "oslo", FirstSlot: 80, LastSlot: 99},
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SliceOf(rapid.Byte()).Draw(t, "key")
		home := rapid.SampledFrom([]string{"", "oslo", "bergen"}).Draw(t, "home")
		slot, err := fpschema.NewLayout(cfg).Slot(key, home)
		again, _ := fpschema.NewLayout(cfg).Slot(bytes.Clone(key), home)
		if err != nil || slot != again || slot >= 100 {
			t.Fatalf("got slots %d and %d, error %v", slot, again, err)
		}
		if gro := fpschema.NewLayout(cfg).Group(slot); home != "" && gro != home {
			t.Fatalf("slot %d belongs to %s, not to %s", slot, gro, home)
		}
	})
	if _, err := fpschema.NewLayout(cfg).Slot([]byte("a"), "nowhere"); err == nil {
		t.Error("an unknown home was accepted")
	}
}

func ExampleLayout_Slot() {
	lay := fpschema.NewLayout(&fpoperator.Service{Slots: 4096})
	slot, err := lay.Slot([]byte("a"), "") // xxhash64("a") is 0xd24ec4f1a98c6e5b
	fmt.Println(slot, err)
	// Output: 3675 <nil>
}
