package fpschema_test

import (
	"strconv"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/typepb"

	"github.com/foxtailpulley/foxtailpulley/internal/config/fpschema"
)

// FuzzCompile guards against a panic of the compiler, and against accepting a schema without services.
func FuzzCompile(f *testing.F) {
	f.Add(valid)
	f.Add(header + "service A { rpc X(M) returns (M); }\nmessage M { oneof o { string a = 1; } }\n")
	f.Fuzz(func(t *testing.T, text string) {
		sch, err := fpschema.Compile(text)
		if err == nil && len(sch.Services()) == 0 {
			t.Error("a schema without services was accepted")
		}
	})
}

const fields = header + `
import "google/protobuf/type.proto";
service Types {
  option (foxtailpulley.schema.v1.service_rule) = {keyed: true};
  rpc Name(google.protobuf.Field) returns (google.protobuf.Field) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "type_url"};
  }
  rpc Number(google.protobuf.Field) returns (google.protobuf.Field) {
    option (foxtailpulley.schema.v1.method_rule) = {key_field: "number"};
  }
}
`

// FuzzExtract guards against a key that differs from the one that a standard decoder reads from the same body, and against a
// panic.
func FuzzExtract(f *testing.F) {
	sch := compile(f, fields)
	raw, _ := proto.Marshal(&typepb.Field{TypeUrl: "a", Number: 7, Options: []*typepb.Option{{Name: "x"}}})
	f.Add(raw, false)
	f.Add([]byte(`{"typeUrl":"a","number":"7","options":[{"name":"x"}]}`), true)
	f.Add([]byte(`{"type_url":"\u00e5","number":1e1}`), true)
	f.Fuzz(func(t *testing.T, data []byte, isJSON bool) {
		form := fpschema.Proto
		msg := &typepb.Field{}
		err := proto.Unmarshal(data, msg)
		if isJSON {
			form = fpschema.JSON
			err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, msg)
		}
		bod := fpschema.Body{Data: data, Format: form}
		name, nameErr := sch.Method("/demo.Types/Name").Extract(bod)
		number, numberErr := sch.Method("/demo.Types/Number").Extract(bod)
		if err != nil {
			return
		}
		if (nameErr == nil) != (msg.TypeUrl != "") || string(name.Key) != msg.TypeUrl {
			t.Errorf("name: got %q, %v; the decoder reads %q", name.Key, nameErr, msg.TypeUrl)
		}
		want := decimal(msg.Number)
		if (numberErr == nil) != (want != "") || string(number.Key) != want {
			t.Errorf("number: got %q, %v; the decoder reads %d", number.Key, numberErr, msg.Number)
		}
		bod.Partial = true
		if fromPartial, err := sch.Method("/demo.Types/Name").Extract(bod); err == nil && string(fromPartial.Key) != msg.TypeUrl {
			t.Errorf("partial: got %q; the decoder reads %q", fromPartial.Key, msg.TypeUrl)
		}
	})
}

// decimal returns the key of an integer field. It is empty for 0, which counts as absent.
func decimal(num int32) string {
	if num == 0 {
		return ""
	}
	return strconv.Itoa(int(num))
}
